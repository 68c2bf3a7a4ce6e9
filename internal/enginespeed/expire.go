package enginespeed

import (
	"math"
	"time"
)

// expireInterval is the interval between searches for expired sums.
const expireInterval = time.Second

// Expire removes what has expired, at most once a second, and renews the landmark from time to time.
func (b *Book) Expire(now time.Time) {
	if now.Sub(b.expiredAt) < expireInterval {
		return
	}
	b.expiredAt = now
	for peer, list := range b.peers {
		for target, n := range list {
			if now.Sub(n.at) >= ttl {
				b.removeEntry(target, n)
				delete(list, target)
			}
		}
		if len(list) == 0 {
			delete(b.peers, peer)
		}
	}
	for target, e := range b.engines {
		if !e.ownAt.IsZero() && now.Sub(e.ownAt) >= ttl {
			b.removeOwn(target, e)
		}
	}
	if now.Sub(b.landmark) >= rebaseAfter {
		b.rebase(now)
	}
}

// Discard removes everything that is known of an engine.
func (b *Book) Discard(target string) {
	e := b.engines[target]
	if e == nil {
		return
	}
	if !e.ownAt.IsZero() {
		b.removeOwn(target, e)
	}
	for peer, list := range b.peers {
		if n, ok := list[target]; ok {
			b.removeEntry(target, n)
			delete(list, target)
		}
		if len(list) == 0 {
			delete(b.peers, peer)
		}
	}
}

func (b *Book) removeOwn(target string, e *engine) {
	own := e.own
	e.own, e.ownAt, e.taken = Sums{}, time.Time{}, Sums{}
	b.remove(target, e, own)
}

func (b *Book) removeEntry(target string, n entry) {
	b.entries--
	b.remove(target, b.engines[target], n.Sums)
}

// remove removes one contribution to an engine, and the engine with the last one.
func (b *Book) remove(target string, e *engine, s Sums) {
	e.contributors--
	if e.contributors > 0 {
		e.add(s.times(-1))
		b.changed[target] = struct{}{}
		return
	}
	e.service.total = e.service.total.minus(e.total)
	delete(b.engines, target)
	delete(b.changed, target)
	e.service.engines--
	if e.service.engines == 0 {
		delete(b.services, e.name)
	}
}

// rebase makes now the landmark.
func (b *Book) rebase(now time.Time) {
	f := math.Exp(-now.Sub(b.landmark).Seconds() / decay.Seconds())
	b.landmark, b.unitAt, b.unit = now, now, 1
	for _, s := range b.services {
		s.total = s.total.times(f)
	}
	for _, e := range b.engines {
		e.total, e.own, e.taken = e.total.times(f), e.own.times(f), e.taken.times(f)
	}
	for _, list := range b.peers {
		for target, n := range list {
			list[target] = entry{n.times(f), n.at}
		}
	}
}
