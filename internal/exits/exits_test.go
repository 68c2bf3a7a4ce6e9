package exits_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/exits"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

var start = time.Unix(1000, 0)

// rig stands in for all that an exchange depends on, with one other router.
type rig struct {
	*exits.Exchange
	state *balance.State
	// sent has the number of names of each message.
	sent []int
}

func newRig(t *testing.T, targets int) *rig {
	t.Helper()
	r := &rig{state: balance.New(start, "z", balance.Limits{}, rand.New(rand.NewPCG(1, 1)))}
	g := group.New(t.Context())
	t.Cleanup(g.Stop)
	r.Exchange = exits.New(exits.Options{
		Group: g, Loop: r, Roster: r, Prober: r, Metrics: r, Send: r.send, Wake: func(time.Time) {}, Log: logr.Discard(),
	})
	var list []balance.Target
	for i := range targets {
		list = append(list, target(i))
	}
	r.state.SetTargets(start, list)
	return r
}

func target(i int) balance.Target {
	return balance.Target{ID: fmt.Sprint("e", i), Service: "s", Zone: "z", Slots: 1, Address: "127.0.0.1:1", Version: "v1", Born: 1}
}

func (*rig) Post(balance.Event)             {}
func (*rig) RandomPeers(time.Time) []string { return []string{"127.0.0.1:2"} }
func (*rig) CountExits(string, int)         {}
func (*rig) ProcessExited(context.Context, string, string) (refusedAt time.Time, exited bool) {
	return time.Time{}, false
}

func (r *rig) send(_ member.Member, m message.Message) {
	r.sent = append(r.sent, len(m.(message.TargetExits).Ended))
}

// TestExitsArePassedOn guards against exits that other routers are not told of, and against messages without end after the
// outage of a zone.
func TestExitsArePassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		// seen and told are the targets whose ends are seen here, one by one, or told by another router together.
		seen, told int
		// want is sent at once, later with the next tick.
		want, later []int
	}{
		"seen":            {seen: 1, want: []int{1}},
		"many seen":       {seen: 9, want: []int{1, 1, 1, 1}, later: []int{5}},
		"told":            {told: 3, want: []int{3}},
		"many told":       {told: 30, want: []int{24, 6}},
		"thousands told":  {told: 3000, want: slices.Repeat([]int{24}, 10)},
		"seen, then told": {seen: 2, told: 2, want: []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, max(c.seen, c.told))
			for i := range c.seen {
				r.Record(r.state, start, target(i), time.Time{})
			}
			var m message.TargetExits
			for i := range c.told {
				m.Ended = append(m.Ended, message.TargetProcess(target(i).Process()))
			}
			r.Receive(r.state, start, m)
			if !slices.Equal(r.sent, c.want) || r.Idle() {
				t.Errorf("sent %v, want %v; idle: %t", r.sent, c.want, r.Idle())
			}
			r.sent = nil
			r.Tick(start)
			if !slices.Equal(r.sent, c.later) || !r.Idle() {
				t.Errorf("then sent %v, want %v; idle: %t", r.sent, c.later, r.Idle())
			}
		})
	}
}
