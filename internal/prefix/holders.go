package prefix

import (
	"iter"
	"slices"
	"time"
)

const (
	// MaxHolders is the number of engines remembered for each part of a prompt.
	MaxHolders = 8
	// pruneInterval is the interval at which outdated parts are forgotten.
	pruneInterval = CachedTTL / 3
)

// Holders has the engines known to cache parts of prompts, by part, for callers that do not look at
// the Cache of each engine. Use NewHolders to make one.
type Holders[T comparable] struct {
	byPart   map[string][]holder[T]
	prunedAt time.Time
}

// holder is an engine that caches a part of a prompt.
type holder[T comparable] struct {
	engine T
	usedAt time.Time
}

// NewHolders returns an empty Holders.
func NewHolders[T comparable](now time.Time) *Holders[T] {
	return &Holders[T]{byPart: map[string][]holder[T]{}, prunedAt: now}
}

// Add records that an engine caches a part. Of more than MaxHolders engines the one used the longest
// time ago is forgotten.
func (h *Holders[T]) Add(now time.Time, part string, engine T) {
	list := h.byPart[part]
	i := slices.IndexFunc(list, func(o holder[T]) bool { return o.engine == engine })
	if i < 0 && len(list) < MaxHolders {
		h.byPart[part] = append(list, holder[T]{engine, now})
		return
	}
	if i < 0 {
		i = 0
		for j := range list {
			if list[j].usedAt.Before(list[i].usedAt) {
				i = j
			}
		}
	}
	list[i] = holder[T]{engine, now}
}

// Of returns the engines known to cache a part. Parts that are outdated may be among them until the
// next call of Prune that forgets them.
func (h *Holders[T]) Of(part string) iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, o := range h.byPart[part] {
			if !yield(o.engine) {
				return
			}
		}
	}
}

// Prune forgets outdated parts, once in a while.
func (h *Holders[T]) Prune(now time.Time) {
	if now.Sub(h.prunedAt) < pruneInterval {
		return
	}
	h.prunedAt = now
	for part, list := range h.byPart {
		list = slices.DeleteFunc(list, func(o holder[T]) bool { return now.Sub(o.usedAt) > CachedTTL })
		if len(list) == 0 {
			delete(h.byPart, part)
			continue
		}
		h.byPart[part] = list
	}
}
