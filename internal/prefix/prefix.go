// Package prefix tracks which prompt prefixes an engine has cached, as far as routers know
// from the prompts that they sent there. A prompt consists of parts that other prompts may
// share; an engine doesn't read a cached part again if every part before it is cached too.
package prefix

import (
	"slices"
	"time"
)

const (
	// maxParts bounds the parts remembered per engine; an engine's cache holds some hundreds
	// of shared parts.
	maxParts = 1200
	// CachedTTL is how long a part counts as cached after its last use. It is an estimate:
	// engines evict the least recently used parts when they need space, and a part is used
	// again within seconds or rarely.
	CachedTTL = 15 * time.Second
	// announceInterval is the time after which a part that is still being used is announced to
	// other routers again: a third of CachedTTL.
	announceInterval = 5 * time.Second
)

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	ID     string
	Tokens int
}

// Cache is what is known of one engine's prefix cache. The zero value is empty.
type Cache struct {
	parts map[string]use
	// unannounced holds the parts to announce to other routers.
	unannounced []string
}

// use is when a part was last used, and when it was last announced to or by other routers.
type use struct{ lastUsed, lastAnnounced time.Time }

// Add records that a prompt was sent to the engine. All its parts but the last, which belongs
// to the prompt or its session alone, are announced to other routers.
func (c *Cache) Add(now time.Time, prompt []Part) {
	c.init()
	for i, p := range prompt {
		u := c.parts[p.ID]
		u.lastUsed = now
		if i < len(prompt)-1 && now.Sub(u.lastAnnounced) >= announceInterval {
			u.lastAnnounced = now
			c.unannounced = append(c.unannounced, p.ID)
		}
		c.parts[p.ID] = u
	}
	c.evict(now)
}

// AddRemote records that another router sent the engine prompts with these parts.
func (c *Cache) AddRemote(now time.Time, parts []string) {
	c.init()
	for _, id := range parts {
		c.parts[id] = use{lastUsed: now, lastAnnounced: now}
	}
	c.evict(now)
}

func (c *Cache) init() {
	if c.parts == nil {
		c.parts = map[string]use{}
	}
}

// TakeAnnouncements returns the parts to announce to other routers and regards them as
// announced.
func (c *Cache) TakeAnnouncements() []string {
	list := c.unannounced
	c.unannounced = nil
	return list
}

// UncachedTokens returns how many of a prompt's tokens the engine has to read: all from the
// first part on that is not cached, and at least 1.
func (c *Cache) UncachedTokens(now time.Time, prompt []Part, tokens int) int {
	for _, p := range prompt {
		u, ok := c.parts[p.ID]
		if !ok || now.Sub(u.lastUsed) > CachedTTL {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 1)
}

// evict drops the older half of the parts, and all expired ones, if there are more than
// maxParts.
func (c *Cache) evict(now time.Time) {
	if len(c.parts) <= maxParts {
		return
	}
	ages := make([]time.Time, 0, len(c.parts))
	for _, u := range c.parts {
		ages = append(ages, u.lastUsed)
	}
	slices.SortFunc(ages, time.Time.Compare)
	limit := ages[len(ages)/2]
	if old := now.Add(-CachedTTL); limit.Before(old) {
		limit = old
	}
	for id, u := range c.parts {
		if !u.lastUsed.After(limit) {
			delete(c.parts, id)
		}
	}
}
