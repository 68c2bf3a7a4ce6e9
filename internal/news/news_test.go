package news_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/news"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/storewatch"
)

var start = time.Unix(1000, 0)

const minInterval = 50 * time.Millisecond

// rig stands in for all that an exchange of a router of zone "z" depends on.
type rig struct {
	*news.Exchange
	rank storewatch.Rank
	// own are the revisions of the router's copy, gained is by how much the next message makes it more recent.
	own    message.Revisions
	gained float64
	// log has what was sent, in turn.
	log []string
}

func newRig(rank storewatch.Rank) *rig {
	r := &rig{rank: rank}
	r.Exchange = news.New(news.Options{
		Zone: "z", Roster: r, Catalog: r, Copies: r, Rank: func() storewatch.Rank { return r.rank }, Server: r, Metrics: r,
		Sender: r, UpdateSelf: func() {}, MinInterval: minInterval,
	})
	return r
}

func (*rig) Zone(id message.RouterID) string                    { return string(id[:1]) }
func (*rig) RoundTrip() time.Duration                           { return 0 }
func (*rig) Hear(message.Revisions) bool                        { return false }
func (r *rig) Newest() message.Revisions                        { return r.own }
func (r *rig) Complete() message.Revisions                      { return r.own }
func (*rig) Copy(time.Time, message.NeedCopy) message.Copy      { return message.Copy{} }
func (*rig) Ages(time.Time) message.Ages                        { return message.Ages{} }
func (*rig) ConfirmedAt(message.StoreKind) time.Time            { return start }
func (*rig) Confirm(time.Time)                                  {}
func (*rig) CountCopy(bool)                                     {}
func (r *rig) SendOnStream(to member.Member, m message.Message) { r.Send(to, m) }
func (*rig) Gossip(time.Time) []roster.Outgoing                 { return pings("gossip") }
func (*rig) Forward(_ time.Time, moreFollows bool) []roster.Outgoing {
	return pings(fmt.Sprint("forward, more follows: ", moreFollows))
}
func (*rig) ForwardConfirmation(time.Time) []roster.Outgoing { return pings("confirmation") }
func (r *rig) Heard(time.Time, string, message.Revisions, message.Ages, message.Revisions) float64 {
	return r.gained
}

func (r *rig) Send(to member.Member, m message.Message) {
	what := to.Peer
	if _, ok := m.(message.NeedCopy); ok {
		what = "request to " + string(to.ID)
	}
	r.log = append(r.log, what)
}

func pings(to string) []roster.Outgoing { return []roster.Outgoing{{Peer: to}} }

// TestNewsInTurn guards against a message for each of many changes, and changes that are never passed on.
func TestNewsInTurn(t *testing.T) {
	for name, c := range map[string]struct {
		running int
		// sources are those of news that come in one instant, and ticks those after it.
		sources []string
		ticks   []time.Duration
		want    []string
	}{
		"from a router":               {3, []string{"a"}, []time.Duration{time.Second}, []string{"forward, more follows: false"}},
		"from the store":              {3, []string{news.FromStore}, []time.Duration{time.Second}, []string{"gossip"}},
		"many, few routers":           {3, []string{"a", "a", "b"}, []time.Duration{minInterval}, []string{"forward, more follows: false", "forward, more follows: true"}},
		"many, one from the store":    {3, []string{"a", news.FromStore, "a"}, []time.Duration{minInterval, time.Second}, []string{"forward, more follows: false", "gossip"}},
		"many, too soon":              {3, []string{"a", "a"}, []time.Duration{minInterval - 1}, []string{"forward, more follows: false"}},
		"many, many routers":          {400, []string{"a", "a"}, []time.Duration{minInterval, 199 * time.Millisecond}, []string{"forward, more follows: false"}},
		"many, many routers, later":   {400, []string{"a", "a"}, []time.Duration{minInterval, 200 * time.Millisecond}, []string{"forward, more follows: false", "forward, more follows: true"}},
		"many, thousands of them":     {4000, []string{"a", "a"}, []time.Duration{399 * time.Millisecond}, []string{"forward, more follows: false"}},
		"many, thousands, much later": {4000, []string{"a", "a"}, []time.Duration{400 * time.Millisecond}, []string{"forward, more follows: false", "forward, more follows: true"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(storewatch.Rank{Running: c.running})
			for _, source := range c.sources {
				r.Note(start, source)
			}
			for _, after := range c.ticks {
				r.Tick(start.Add(after))
			}
			if !slices.Equal(r.log, c.want) {
				t.Errorf("sent %q, want %q", r.log, c.want)
			}
			if waits := len(c.sources) > 1 && len(c.want) == 1; r.Idle() == waits {
				t.Error("idle:", r.Idle())
			}
		})
	}
}

// TestCopiesFromOtherZones guards against copies from other zones, which are paid for, that a router of the own zone sends
// soon, and against a zone that never asks.
func TestCopiesFromOtherZones(t *testing.T) {
	newer := message.Revisions{Config: 2}
	for name, c := range map[string]struct {
		from message.RouterID
		near int
		// learnt is set if the own zone has sent a copy meanwhile.
		learnt    bool
		now, soon int
	}{
		"of the own zone":                        {from: "z1", near: 20, now: 1, soon: 1},
		"of another one":                         {from: "y1", near: 20, soon: 1},
		"of another one, a near copy comes":      {from: "y1", near: 20, learnt: true},
		"of another one, few routers in the own": {from: "y1", near: 7, now: 1, soon: 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(storewatch.Rank{Near: c.near})
			r.Exchange.Hear(start, member.Member{ID: c.from}, newer, message.Ages{})
			if len(r.log) != c.now {
				t.Errorf("sent %q, want %d", r.log, c.now)
			}
			if c.learnt {
				r.own = newer
			}
			for after := time.Duration(0); after <= time.Second; after += minInterval {
				r.Tick(start.Add(after))
			}
			if len(r.log) != c.soon || !r.Idle() {
				t.Errorf("then sent %q, want %d; idle: %t", r.log, c.soon, r.Idle())
			}
		})
	}
}

// TestConfirmationsOfOthers guards against confirmations that do not reach a large fleet, and that all pass on in a small one.
func TestConfirmationsOfOthers(t *testing.T) {
	for name, c := range map[string]struct {
		running int
		gained  float64
		want    []string
	}{
		"large fleet, much gained":   {100, 0.25, []string{"confirmation"}},
		"large fleet, little gained": {100, 0.24, nil},
		"small fleet":                {roster.Fanout + 1, 1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(storewatch.Rank{Running: c.running})
			r.gained = c.gained
			for range 2 {
				r.Exchange.Hear(start, member.Member{ID: "z1"}, message.Revisions{}, message.Ages{})
			}
			if !slices.Equal(r.log, c.want) {
				t.Errorf("sent %q, want %q", r.log, c.want)
			}
		})
	}
}
