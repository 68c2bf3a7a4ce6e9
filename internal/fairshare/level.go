package fairshare

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/view"
)

// levelTTL is how long a computed level is used before it is computed again.
const levelTTL = 50 * time.Millisecond

// Level holds the max-min fair shares of an organisation, and what the most served one was served.
type Level struct {
	// Tokens is the share of the configured capacity, the most that an organisation may be served: the
	// demands of all, each cut to it, add up to the capacity. Attained is the share of what all engines
	// actually served.
	Tokens, Attained float64
	// MostServed is what the most served organisation was served.
	MostServed float64
	computedAt time.Time
}

// Level returns the level, computed again every levelTTL.
func (b *Book) Level(now time.Time) Level {
	if now.Sub(b.level.computedAt) < levelTTL {
		return b.level
	}
	var demands []float64
	total, mostServed := 0.0, 0.0
	for name := range b.usages {
		own, others := b.Usage(now, name), b.peers.Usage(now, name)
		demands = append(demands, own.Demand+others.Demand)
		total += own.Served + others.Started
		mostServed = max(mostServed, own.Served+others.Started)
	}
	b.peers.EachOrganisation(now, func(name string, u view.Usage) {
		if b.usages[name] == nil {
			demands = append(demands, u.Demand)
			total += u.Started
			mostServed = max(mostServed, u.Started)
		}
	})
	// The decayed sum of a constant rate converges to the rate times the time constant.
	capacity := b.capacity * b.window.Seconds() / 2
	b.level = Level{Tokens: maxMinLevel(demands, capacity), Attained: maxMinLevel(demands, min(total, capacity)), MostServed: mostServed, computedAt: now}
	return b.level
}

// maxMinLevel returns the level l at which the sum of min(d, l) over all demands d is
// capacity, or infinity if all fit.
func maxMinLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	left := capacity
	for i, demand := range demands {
		even := left / float64(len(demands)-i)
		if demand > even {
			return even
		}
		left -= demand
	}
	return math.Inf(1)
}
