package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

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
			lines := make(chan string, 100)
			g, err := New(context.Background(), Options{
				ID: "l", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Incarnation: started.Add(1), Codec: jsonCodec{}, Metrics: counters.New(),
				Log: funcr.New(func(_, args string) { lines <- args }, funcr.Options{}), LogFull: func() bool { return c.full },
			})
			if err != nil {
				t.Fatal(err)
			}
			defer g.Stop()
			g.loop.PostAndWait(t.Context(), func(_ *balance.State, now time.Time) { g.recordStreams(now, []balance.Stream{c.stream}, true) })
			got := ""
			for len(lines) > 0 {
				if l := <-lines; strings.Contains(l, "stream began") {
					got += l
				}
			}
			if !strings.HasSuffix(got, c.want) || c.want == "" && got != "" {
				t.Errorf("lines %q, want %q", got, c.want)
			}
		})
	}
}
