package standin

import (
	"container/list"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/port"
)

// maxCacheEvents is the maximum number of cache events that an engine keeps. The oldest are dropped
// first, whether they were read or not.
const maxCacheEvents = 256

// prefixCache is an engine's cache of processed prompt prefixes. It is limited in tokens and evicts
// the least recently used prefix.
type prefixCache struct {
	mu sync.Mutex
	// capacity and used are in tokens.
	capacity int
	used     int
	// order holds the prefixes, most recently used first.
	order    *list.List
	entries  map[string]*list.Element
	events   []timedEvent
	sequence uint64
}

// cachedPrefix is a prefix in the cache.
type cachedPrefix struct {
	prefix string
	tokens int
}

// timedEvent is a cache event with the time when it happened.
type timedEvent struct {
	at    time.Time
	event port.CacheEvent
}

// newPrefixCache returns an empty cache for the given number of tokens.
func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens, order: list.New(), entries: map[string]*list.Element{}}
}

// PrefixKey returns the key under which engines report the prefix of a prompt with several
// messages: the hash of the first message.
func PrefixKey(first string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(first))
	return strconv.FormatUint(h.Sum64(), 16)
}

// lookupOrAdd returns the number of cached tokens of a prefix. It adds a new prefix to the cache and
// marks an old one as recently used. A prefix larger than the capacity is not cached.
func (c *prefixCache) lookupOrAdd(prefix string, tokens int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.entries[prefix]; e != nil {
		c.order.MoveToFront(e)
		return e.Value.(cachedPrefix).tokens
	}
	if tokens > c.capacity {
		return 0
	}
	for c.used+tokens > c.capacity {
		c.evict()
	}
	c.entries[prefix] = c.order.PushFront(cachedPrefix{prefix, tokens})
	c.used += tokens
	c.recordEvent(prefix, tokens, true)
	return 0
}

// evict removes the least recently used prefix.
func (c *prefixCache) evict() {
	e := c.order.Back()
	evicted := e.Value.(cachedPrefix)
	c.order.Remove(e)
	delete(c.entries, evicted.prefix)
	c.used -= evicted.tokens
	c.recordEvent(evicted.prefix, evicted.tokens, false)
}

// recordEvent records an event: a prefix was stored or evicted.
func (c *prefixCache) recordEvent(prefix string, tokens int, stored bool) {
	c.sequence++
	c.events = append(c.events, timedEvent{clock.Now(), port.CacheEvent{
		Sequence: c.sequence, Prefix: prefix, Tokens: tokens, Stored: stored,
	}})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// since returns the events after a sequence number that are at least of the given age. If dropEvery
// is not 0, events whose sequence number is a multiple of it are left out.
func (c *prefixCache) since(sequence uint64, age time.Duration, dropEvery uint64) []port.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := clock.Now().Add(-age)
	var out []port.CacheEvent
	for _, e := range c.events {
		lost := dropEvery > 0 && e.event.Sequence%dropEvery == 0
		if e.event.Sequence > sequence && !e.at.After(due) && !lost {
			out = append(out, e.event)
		}
	}
	return out
}

// serveCacheEvents returns the cache events after the sequence number in the parameter since.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
		return
	}
	f := e.faults()
	events := e.cache.since(sequence, time.Duration(f.LoadAgeMS)*time.Millisecond, uint64(f.DropEveryNthEvent))
	writeJSON(w, http.StatusOK, events)
}
