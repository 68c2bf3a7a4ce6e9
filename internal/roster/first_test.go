package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/roster"
)

// TestFirstAgreesWithRanked guards against two ways of ranking that disagree: what is sent to the first router
// would be handled by another one.
func TestFirstAgreesWithRanked(t *testing.T) {
	now := time.Unix(1000, 0)
	record := func(i int) message.RouterRecord {
		return message.RouterRecord{ID: message.RouterID(fmt.Sprint("router-", i)), Zone: "z", Peer: fmt.Sprint("10.0.0.", i, ":1"), Incarnation: 1, State: message.Alive}
	}
	const routers = 12
	for self := range routers {
		r := roster.New(now, record(self), nil, rand.New(rand.NewPCG(1, 1)))
		var others []message.RouterRecord
		for i := range routers {
			if i != self {
				others = append(others, record(i))
			}
		}
		for _, other := range others {
			r.Receive(now, message.Ping{From: other})
		}
		if n := r.Size(now); n != routers {
			t.Fatalf("%d routers known, want %d", n, routers)
		}
		for key := range 50 {
			first := r.First(now, fmt.Sprint(key))
			if ranked := r.Ranked(now, fmt.Sprint(key), 1); first != (len(ranked) == 0) {
				t.Errorf("router %d, key %d: first %v, ranked %v", self, key, first, ranked)
			}
		}
	}
}
