// Package prefix remembers which parts of prompts an engine keeps, as far as
// routers know from what they sent it. An engine reads no part again that it
// keeps, as long as it keeps every part before it.
package prefix

import (
	"slices"
	"time"
)

const (
	// maxParts bounds the parts remembered for an engine; an engine's memory
	// holds some hundreds of shared parts.
	maxParts = 1200
	// keptTime is for how long a part counts as kept after its last use. It is
	// a guess: engines drop what was unused for the longest when they need
	// room, and a part is asked for again within seconds or seldom.
	keptTime = 15 * time.Second
	// tellTime is the time after which other routers are told again of a part
	// that goes on being used: a third of keptTime.
	tellTime = 5 * time.Second
)

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Cache is what is known of one engine. Use NewCache to make one.
type Cache struct {
	parts map[string]use
	// untold holds the parts of which other routers are to be told.
	untold []string
}

// use is when a part was last used, and when all routers last heard of it.
type use struct{ at, told time.Time }

// NewCache returns the cache of an engine that keeps nothing.
func NewCache() *Cache { return &Cache{parts: map[string]use{}} }

// Add notes that a prompt was sent to the engine. Other routers are told of its
// parts but the last, which is the prompt's own or its session's.
func (c *Cache) Add(now time.Time, prompt []Part) {
	for i, p := range prompt {
		u := c.parts[p.ID]
		u.at = now
		if i < len(prompt)-1 && now.Sub(u.told) >= tellTime {
			u.told = now
			c.untold = append(c.untold, p.ID)
		}
		c.parts[p.ID] = u
	}
	c.trim(now)
}

// AddRemote notes that another router sent the engine prompts with these parts.
func (c *Cache) AddRemote(now time.Time, parts []string) {
	for _, id := range parts {
		c.parts[id] = use{at: now, told: now}
	}
	c.trim(now)
}

// TakeAnnouncements returns the parts of which other routers are to be told, and takes
// them as told.
func (c *Cache) TakeAnnouncements() []string {
	list := c.untold
	c.untold = nil
	return list
}

// UncachedTokens returns how many of a prompt's tokens the engine has to read: those
// from the first part on that it does not keep.
func (c *Cache) UncachedTokens(now time.Time, prompt []Part, tokens int) int {
	for _, p := range prompt {
		u, ok := c.parts[p.ID]
		if !ok || now.Sub(u.at) > keptTime {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 1)
}

// trim forgets the older half where there are too many.
func (c *Cache) trim(now time.Time) {
	if len(c.parts) <= maxParts {
		return
	}
	ages := make([]time.Time, 0, len(c.parts))
	for _, u := range c.parts {
		ages = append(ages, u.at)
	}
	slices.SortFunc(ages, time.Time.Compare)
	limit := ages[len(ages)/2]
	if old := now.Add(-keptTime); limit.Before(old) {
		limit = old
	}
	for id, u := range c.parts {
		if !u.at.After(limit) {
			delete(c.parts, id)
		}
	}
}
