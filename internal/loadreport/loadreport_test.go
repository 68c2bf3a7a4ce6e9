package loadreport_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/loadreport"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/rollout"
)

var start = time.Unix(1000, 0)

// fleet stands in for all that an exchange depends on, of router "own" in zone "z".
type fleet struct {
	serving []message.RouterRecord
	// sent has the receivers of messages, by type, and known whose roll-outs' results are known.
	sent  map[string][]message.RouterID
	known map[string]bool
}

func newFleet(zones ...string) *fleet {
	f := &fleet{sent: map[string][]message.RouterID{}, known: map[string]bool{}}
	for i, zone := range zones {
		f.serving = append(f.serving, message.RouterRecord{ID: message.RouterID(fmt.Sprintf("%s%02d", zone, i)), Zone: zone})
	}
	return f
}

func (*fleet) Self() message.RouterRecord {
	return message.RouterRecord{ID: "own", Zone: "z", Serving: true}
}
func (f *fleet) Serving(time.Time) []message.RouterRecord { return f.serving }
func (*fleet) Zone(message.RouterID) string               { return "y" }
func (f *fleet) CountOthers(time.Time) int                { return len(f.serving) }
func (f *fleet) Send(to member.Member, m message.Message) { f.SendAll([]member.Member{to}, m) }
func (f *fleet) SendOnStream(to member.Member, m message.Message) {
	f.SendAll([]member.Member{to}, m)
}

func (f *fleet) SendAll(to []member.Member, m message.Message) {
	for _, r := range to {
		name := fmt.Sprintf("%T", m)
		f.sent[name] = append(f.sent[name], r.ID)
	}
}
func (*fleet) Results() []rollout.Results                 { return nil }
func (f *fleet) SetPeer(name string, _ []rollout.Results) { f.known[name] = true }
func (f *fleet) RemovePeer(name string)                   { delete(f.known, name) }
func (*fleet) Newest() message.Revisions                  { return message.Revisions{} }
func (*fleet) Ages(time.Time) message.Ages                { return message.Ages{} }

func newExchange(f *fleet) (*loadreport.Exchange, *balance.State) {
	s := balance.New(start, "z", balance.Limits{}, rand.New(rand.NewPCG(1, 1)))
	return loadreport.New(loadreport.Options{Roster: f, Sender: f, Rollouts: f, Copies: f, Log: logr.Discard()}), s
}

// TestSumReplacesReports guards against load that counts twice, or not at all, where a zone sends sums and its routers
// send reports.
func TestSumReplacesReports(t *testing.T) {
	type event struct {
		after time.Duration
		sum   bool
	}
	for name, c := range map[string]struct {
		events []event
		want   []string
	}{
		"reports only":              {[]event{{}, {after: time.Second}}, []string{"far"}},
		"a sum after a report":      {[]event{{}, {sum: true}}, []string{"zone y"}},
		"a report soon after a sum": {[]event{{sum: true}, {after: 400 * time.Millisecond}}, []string{"zone y"}},
		"a report long after a sum": {[]event{{sum: true}, {after: 500 * time.Millisecond}}, []string{"far"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet()
			e, s := newExchange(f)
			now := start
			for _, event := range c.events {
				now = now.Add(event.after)
				if !event.sum {
					e.Receive(s, now, member.Member{ID: "far", Zone: "y"}, message.Status{})
				} else if !e.ReceiveSum(s, now, message.ZoneStatus{Zone: "y"}) {
					t.Error("not applied")
				}
			}
			if got := slices.Sorted(maps.Keys(f.known)); !slices.Equal(got, c.want) {
				t.Errorf("known of %v, want %v", got, c.want)
			}
		})
	}
}

// TestOwnSumIsIgnored guards against load that counts twice since a router of this zone sends back its sum.
func TestOwnSumIsIgnored(t *testing.T) {
	f := newFleet()
	e, s := newExchange(f)
	if e.ReceiveSum(s, start, message.ZoneStatus{Zone: "z"}) || len(f.known) > 0 {
		t.Error("applied")
	}
}

func TestWhoGetsSums(t *testing.T) {
	many := slices.Repeat([]string{"y"}, loadreport.MaxMeshPeers+1)
	for name, c := range map[string]struct {
		zones []string
		want  int
	}{
		"few routers":                      {many[1:], 0},
		"many routers of two zones":        {many, 1},
		"many routers of three zones":      {append([]string{"x"}, many...), 2},
		"another router is the relay here": {append([]string{"z"}, many...), 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.zones...)
			for i := range f.serving {
				if f.serving[i].Zone == "z" {
					// Among this name and its own, the relay is this one.
					f.serving[i].ID = "first"
				}
			}
			e, s := newExchange(f)
			e.Tick(s, start)
			e.Tick(s, start.Add(time.Millisecond))
			if got := len(f.sent["message.ZoneStatus"]); got != c.want {
				t.Errorf("sums to %v, want %d", f.sent, c.want)
			}
		})
	}
}
