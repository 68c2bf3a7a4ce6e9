package roster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/roster"
)

// TestRoundTrip checks that the round-trip time follows the longest of the recent pings, also where an answer
// arrives only after the ping was repeated.
func TestRoundTrip(t *testing.T) {
	record := func(name string) message.RouterRecord {
		return message.RouterRecord{ID: message.RouterID(name), Zone: "z", Peer: name, Incarnation: 1, Version: 1}
	}
	now := time.Unix(1000, 0)
	r := roster.New(now, record("a"), nil, rand.New(rand.NewPCG(1, 1)))
	r.Receive(now, message.Ping{From: record("b")})
	// ping lets the router ping the other one, which answers so much later.
	ping := func(took time.Duration) {
		pinged := time.Time{}
		for pinged.IsZero() || now.Sub(pinged) < took {
			now = now.Add(10 * time.Millisecond)
			for _, o := range r.Tick(now) {
				if o.Ping.Kind == message.PingRequest && pinged.IsZero() {
					pinged = now
				}
			}
		}
		r.Receive(now, message.Ping{From: record("b"), Kind: message.PingReply})
	}
	if d := r.RoundTrip(); d != 0 {
		t.Errorf("%v before the first ping", d)
	}
	for _, took := range []time.Duration{40 * time.Millisecond, 120 * time.Millisecond, 450 * time.Millisecond} {
		ping(took)
		if d := r.RoundTrip(); d < took || d > took+20*time.Millisecond {
			t.Errorf("%v after a ping that took %v", d, took)
		}
	}
	for range 40 {
		ping(10 * time.Millisecond)
	}
	if d := r.RoundTrip(); d > 20*time.Millisecond {
		t.Errorf("%v after many short ones", d)
	}
}
