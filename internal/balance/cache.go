package balance

import (
	"slices"
	"time"
)

const (
	// cacheParts bounds the parts remembered for an engine; an engine's
	// memory holds some hundreds of shared parts.
	cacheParts = 1200
	// cacheAge is for how long a part counts as kept after its last use. It
	// is a guess: engines drop what was unused for the longest when they need
	// room, and a part is asked for again within seconds or seldom.
	cacheAge = 15 * time.Second
)

// cache is a guess at which parts of prompts an engine keeps, from what this
// router sent it.
type cache struct {
	used map[string]time.Time
}

func newCache() cache { return cache{used: map[string]time.Time{}} }

func (c *cache) add(now time.Time, parts []Part) {
	for _, p := range parts {
		c.used[p.ID] = now
	}
	if len(c.used) > cacheParts {
		c.trim(now)
	}
}

// trim forgets the older half.
func (c *cache) trim(now time.Time) {
	ages := make([]time.Time, 0, len(c.used))
	for _, at := range c.used {
		ages = append(ages, at)
	}
	slices.SortFunc(ages, time.Time.Compare)
	limit := ages[len(ages)/2]
	if old := now.Add(-cacheAge); limit.Before(old) {
		limit = old
	}
	for id, at := range c.used {
		if !at.After(limit) {
			delete(c.used, id)
		}
	}
}

// missing returns how many of a prompt's tokens the engine has to read: those
// from the first part on that it does not keep.
func (c *cache) missing(now time.Time, parts []Part, input int) int {
	left := input
	for _, p := range parts {
		used, ok := c.used[p.ID]
		if !ok || now.Sub(used) > cacheAge {
			break
		}
		left -= p.Tokens
	}
	return max(left, 1)
}
