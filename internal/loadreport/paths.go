package loadreport

import "time"

const (
	// MaxMeshPeers is the number of other serving routers up to which every router reports to
	// every other. Above it, routers report within their zone, and zones exchange sums. That
	// reduces the traffic between zones, but sums are older by up to sumPeriod.
	MaxMeshPeers = 16
	// pathOverlap is how long reports take both paths after a change: other routers learn of it
	// later, and the relay of a zone may take another path than the routers whose reports it adds up.
	pathOverlap = 2 * time.Second
	// maxOverlapPeers is the number of other serving routers above which they don't.
	maxOverlapPeers = 2 * MaxMeshPeers
)

// paths are the ways on which reports reach other zones: directly from each router, as sums, or both.
type paths struct {
	direct, sums           bool
	directUntil, sumsUntil time.Time
}

// update chooses the paths for a number of other serving routers, and reports whether they changed.
func (p *paths) update(now time.Time, serving int) (changed bool) {
	if serving > MaxMeshPeers {
		p.sumsUntil = now.Add(pathOverlap)
	} else {
		p.directUntil = now.Add(pathOverlap)
	}
	direct, sums := now.Before(p.directUntil) && serving <= maxOverlapPeers, now.Before(p.sumsUntil)
	changed = direct != p.direct || sums != p.sums
	p.direct, p.sums = direct, sums
	return changed
}
