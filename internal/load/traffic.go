package load

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/report"
)

// traffic is running totals of control traffic.
type traffic struct {
	routers []routerTraffic
	// calls is the number of calls that the platform answered.
	calls int64
}

// routerTraffic is one router's part of it.
type routerTraffic struct {
	name        string
	engines     int
	bytes       int64
	messages    int64
	granted     int64
	declined    int64
	substituted int64
	local       int64
}

// traffic reads the totals; a stopped router has none.
func (f *fleet) traffic() traffic {
	t := traffic{calls: f.platform.Calls()}
	for i, r := range f.routers {
		one := routerTraffic{name: string(r.Self().ID)}
		if !f.stopped[i] {
			peers, status := r.PeerStats(), r.Status()
			one.engines = status.OwnedEngines
			one.bytes, one.messages = peers.Bytes, peers.Messages
			one.granted, one.declined = status.Granted, status.GrantsDeclined
			one.local, one.substituted = status.LocalDispatches, status.Substituted
		}
		t.routers = append(t.routers, one)
	}
	return t
}

// since returns what was added to earlier totals.
func (t traffic) since(before traffic) traffic {
	t.calls -= before.calls
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

// sum adds the routers up.
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

// results returns the routers' parts for a report.
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
