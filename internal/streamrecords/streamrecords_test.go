package streamrecords_test

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/streamrecords"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// rig stands in for all that an exchange depends on, in a fleet of two routers.
type rig struct{ stored, sent int }

func (*rig) AwaitPast(*balance.State, time.Time, forward.TakeUp) <-chan struct{} { return nil }
func (*rig) SetStored(*balance.State, time.Time, int64, []streamversion.ServiceVersion) {
}
func (r *rig) StoreRecords(time.Time)               { r.stored++ }
func (*rig) Tick(*balance.State, time.Time)         {}
func (*rig) Ranked(time.Time, string, int) []string { return []string{"127.0.0.1:2"} }
func (*rig) First(time.Time, string) bool           { return true }
func (*rig) Size(time.Time) int                     { return 2 }
func (r *rig) send(member.Member, message.Message)  { r.sent++ }

// TestBeginningHasLine guards against streams that need a record and of which a router that is lost leaves no line.
func TestBeginningHasLine(t *testing.T) {
	stream := balance.Stream{Service: "s", ID: "r", Version: "v1", Begins: true}
	unknown, takenUp := stream, stream
	unknown.Version, unknown.Corrected = streamversion.Unknown, true
	takenUp.Begins = false
	for name, c := range map[string]struct {
		stream balance.Stream
		full   bool
		want   string
	}{
		"begins":          {stream: stream, want: `"msg"="stream began" "id"="r" "version"="v1" "service"="s"`},
		"version unknown": {stream: unknown, want: `"msg"="stream began" "id"="r" "version"="" "service"="s"`},
		"taken up":        {stream: takenUp},
		"log full":        {stream: stream, full: true},
	} {
		t.Run(name, func(t *testing.T) {
			var lines []string
			r, now := &rig{}, time.Now()
			e := streamrecords.New(streamrecords.Options{
				Streams: streamversion.New(now, r), Store: r, Send: r.send, Wake: func(time.Time) {}, StoodStill: func(time.Time) bool { return false },
				LogFull: func() bool { return c.full }, Log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}),
			})
			e.Begun(now, c.stream, true)
			got := strings.Join(lines, "")
			if !strings.HasSuffix(got, c.want) || c.want == "" && got != "" {
				t.Errorf("lines %q, want %q", got, c.want)
			}
			if r.stored != 1 || r.sent == 0 {
				t.Errorf("stored %d times, sent %d messages", r.stored, r.sent)
			}
		})
	}
}
