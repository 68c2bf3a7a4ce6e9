package load

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/report"
)

// traffic holds totals of control traffic and of routing decisions, since the start of the fleet or
// for an interval.
type traffic struct {
	routers []routerTraffic
	// platformCalls is the number of calls that the platform received.
	platformCalls int64
}

// routerTraffic holds the totals of one router.
type routerTraffic struct {
	name string
	// engines is the number of engines that the router owns.
	engines int
	// bytes and messages count what the router sent to other routers.
	bytes    int64
	messages int64
	// granted counts the slots that the router granted to other routers, and declined those of
	// them that the others did not use. substituted counts the slots granted by other routers
	// for one organisation that the router used for another.
	granted     int64
	declined    int64
	substituted int64
	// local counts the requests that the router sent to its own engines.
	local int64
}

// traffic returns the totals so far. Those of a stopped router are 0.
func (f *fleet) traffic() traffic {
	t := traffic{platformCalls: f.platform.Calls()}
	for i, r := range f.routers {
		current := routerTraffic{name: string(r.Self().ID)}
		if !f.stopped[i] {
			peers, status := r.PeerStats(), r.Status()
			current.engines = status.OwnedEngines
			current.bytes, current.messages = peers.Bytes, peers.Messages
			current.granted, current.declined = status.Granted, status.GrantsDeclined
			current.local, current.substituted = status.LocalDispatches, status.Substituted
		}
		t.routers = append(t.routers, current)
	}
	return t
}

// since returns the increase since earlier totals. For a router that was stopped in between, whose
// totals are gone, it is 0.
func (t traffic) since(before traffic) traffic {
	t.platformCalls -= before.platformCalls
	for i, b := range before.routers {
		r := &t.routers[i]
		r.bytes = max(r.bytes-b.bytes, 0)
		r.messages = max(r.messages-b.messages, 0)
		r.granted = max(r.granted-b.granted, 0)
		r.declined = max(r.declined-b.declined, 0)
		r.substituted = max(r.substituted-b.substituted, 0)
		r.local = max(r.local-b.local, 0)
	}
	return t
}

// sum returns the totals of all routers together.
func (t traffic) sum() routerTraffic {
	var sum routerTraffic
	for _, r := range t.routers {
		sum.engines += r.engines
		sum.bytes += r.bytes
		sum.messages += r.messages
		sum.granted += r.granted
		sum.declined += r.declined
		sum.substituted += r.substituted
		sum.local += r.local
	}
	return sum
}

// results returns each router's totals for the report of a run that took the given time.
func (t traffic) results(took time.Duration) []report.RouterResult {
	var list []report.RouterResult
	for _, r := range t.routers {
		list = append(list, report.RouterResult{
			Router: r.name, Engines: r.engines, Local: r.local, Granted: r.granted,
			ControlBytesPerSecond: float64(r.bytes) / took.Seconds(),
		})
	}
	return list
}
