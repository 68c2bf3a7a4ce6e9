package gateway

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamstore"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// routeStore is a StreamStore that records what is saved, and from which revisions on configurations are read.
type routeStore struct {
	savedVersions
	saved chan streamversion.Versions
	reads chan int64
}

func newRouteStore() routeStore {
	return routeStore{saved: make(chan streamversion.Versions, 1000), reads: make(chan int64, 1000)}
}

func (s routeStore) SaveVersions(v streamversion.Versions) bool {
	s.saved <- v
	return true
}

func (s routeStore) ReadConfigs(since int64) { s.reads <- since }

// maxConfigAge is the age at which a configuration is too old.
const maxConfigAge = 200 * time.Millisecond

// newRouteGateway returns a router that is alone, with services x and z of version v1 and y of v2.
func newRouteGateway(t *testing.T, store StreamStore) *Gateway {
	t.Helper()
	g, err := New(context.Background(), Options{
		ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StreamStore: store, Codec: jsonCodec{}, Log: logr.Discard(),
		Metrics: counters.New(), Limits: balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
		CopyLimits: freshness.Limits{message.StoreConfig: maxConfigAge},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	setTargets(t, g, targetOf("x", "v1"), targetOf("y", "v2"), targetOf("z", "v1"))
	return g
}

// routeTo returns a configuration of a version that sends all to a service.
func routeTo(t *testing.T, version int64, service string) []byte {
	t.Helper()
	b, err := json.Marshal(routing.Spec{Version: version, Routes: []routing.Route{
		{Name: "r", Host: "h", Prefix: "/", Kind: routing.Streaming, Resumable: true, Shares: []routing.Share{{Service: service, Weight: 1}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func tableTo(t *testing.T, version int64, service string) *routing.Table {
	t.Helper()
	table, err := jsonCodec{}.Table(routeTo(t, version, service))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func takeUpAt(t *testing.T, g *Gateway, service string) streamversion.Answer {
	t.Helper()
	return g.records.Lookup(t.Context(), forward.TakeUp{Service: service, Host: "h", Path: "/p", Stream: "s"})
}

// TestTakeUpBeforeRoutesAreRead guards against taking a stream for one of the service to which its route moved while no
// router ran, against refusing it for good before that is known, and against reads that tell nothing.
func TestTakeUpBeforeRoutesAreRead(t *testing.T) {
	before := tableTo(t, 1, "y")
	for name, c := range map[string]struct {
		// configAt is the revision of the configuration that is stored, and that in force is of revision 7.
		configAt int64
		// read answers a read.
		read func(g *Gateway)
		want streamversion.Answer
	}{
		"nothing has changed":           {configAt: 7, want: streamversion.Answer{Known: true, Confirmed: true, Version: "v1", Evidence: streamversion.EvidenceOnlyVersion}},
		"not read yet":                  {configAt: 5},
		"it did not move":               {configAt: 5, read: func(g *Gateway) { g.ConfigsRead(5, nil, true) }, want: streamversion.Answer{Known: true, Confirmed: true, Version: "v1", Evidence: streamversion.EvidenceOnlyVersion}},
		"it led elsewhere meanwhile":    {configAt: 5, read: func(g *Gateway) { g.ConfigsRead(5, []*routing.Table{before, tableTo(t, 2, "x")}, true) }, want: streamversion.Answer{Confirmed: true}},
		"the store has no history left": {configAt: 5, read: func(g *Gateway) { g.ConfigsRead(5, nil, false) }, want: streamversion.Answer{Confirmed: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newRouteStore()
			g := newRouteGateway(t, store)
			g.SetConfig(7, routeTo(t, 2, "x"))
			g.RestoreStreams(streamversion.Stored{Complete: true, ConfigAt: c.configAt})
			if c.read != nil {
				c.read(g)
			}
			if got := takeUpAt(t, g, "x"); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			time.Sleep(3 * streamstore.HistoryInterval / 2)
			reads := len(store.reads)
			if wanted := c.configAt < 7; (reads > 0) != wanted || c.read != nil && reads > 1 || reads > 4 {
				t.Errorf("%d reads", reads)
			}
			if reads > 0 && <-store.reads != c.configAt {
				t.Error("not read from what is stored on")
			}
		})
	}
}

// TestTakeUpAfterMissedConfigurations guards against taking a stream for one of the services that a router knows of, though
// its process stood still, or was cut off, while the stream's route led to another one.
func TestTakeUpAfterMissedConfigurations(t *testing.T) {
	for name, c := range map[string]struct {
		missed bool
		later  []*routing.Table
		want   streamversion.Answer
	}{
		"it was up to date":            {want: streamversion.Answer{Known: true, Confirmed: true, Version: "v1", Evidence: streamversion.EvidenceSameVersion}},
		"it missed one":                {missed: true, later: []*routing.Table{tableTo(t, 2, "y"), tableTo(t, 3, "z")}, want: streamversion.Answer{Confirmed: true}},
		"it might, but there was none": {missed: true, later: []*routing.Table{tableTo(t, 3, "z")}, want: streamversion.Answer{Known: true, Confirmed: true, Version: "v1", Evidence: streamversion.EvidenceSameVersion}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newRouteStore()
			g := newRouteGateway(t, store)
			g.RestoreStreams(streamversion.Stored{Complete: true, ConfigAt: streamversion.NoStreams})
			g.SetConfig(7, routeTo(t, 1, "x"))
			g.StoreConfirmed(message.StoreConfig, clock.Now())
			time.Sleep(2 * maxConfigAge)
			if !c.missed {
				g.StoreConfirmed(message.StoreConfig, clock.Now())
			}
			g.SetConfig(9, routeTo(t, 3, "z"))
			g.StoreConfirmed(message.StoreConfig, clock.Now())
			if c.missed {
				if got := takeUpAt(t, g, "z"); got != (streamversion.Answer{}) {
					t.Errorf("before it is read: %+v", got)
				}
				if len(store.reads) == 0 || <-store.reads != 7 {
					t.Error("not read from the configuration before on")
				}
				// That answers an earlier read.
				g.ConfigsRead(5, nil, true)
				if got := takeUpAt(t, g, "z"); got != (streamversion.Answer{}) {
					t.Errorf("after an earlier read: %+v", got)
				}
				g.ConfigsRead(7, c.later, true)
			}
			if got := takeUpAt(t, g, "z"); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			if !c.missed && len(store.reads) > 0 {
				t.Error("read though there was nothing to read")
			}
		})
	}
}

// TestRoutesReadAgain guards against a router that never knows the routes before its start since the first read failed,
// and one that reads at each tick meanwhile.
func TestRoutesReadAgain(t *testing.T) {
	store := newRouteStore()
	g := newRouteGateway(t, store)
	g.SetConfig(7, routeTo(t, 2, "x"))
	g.RestoreStreams(streamversion.Stored{Complete: true, ConfigAt: 5})
	const wait = 4 * streamstore.HistoryInterval
	time.Sleep(wait)
	if n := len(store.reads); n < 2 || n > int(wait/streamstore.HistoryInterval)+1 {
		t.Errorf("%d reads in %v", n, wait)
	}
	g.ConfigsRead(5, nil, true)
	if a := takeUpAt(t, g, "x"); a.Version != "v1" {
		t.Errorf("after it is read: %+v", a)
	}
}

// TestRoutesAreStoredOnceKnown guards against routes that are not stored until the next change of the configuration, so
// that routers which start refuse streams, and against writes at each tick while they are not known.
func TestRoutesAreStoredOnceKnown(t *testing.T) {
	store := newRouteStore()
	g := newRouteGateway(t, store)
	g.SetConfig(7, routeTo(t, 2, "x"))
	g.RestoreStreams(streamversion.Stored{Complete: true, RoutesUnknown: true})
	g.VersionsStored(0, []streamversion.ServiceVersion{{Service: "x", Version: "v1"}, {Service: "y", Version: "v2"}, {Service: "z", Version: "v1"}}, true)
	time.Sleep(streamstore.Takeover / 2)
	if n := len(store.saved); n > 2 {
		t.Errorf("%d writes in %v while the routes are not known", n, streamstore.Takeover/2)
	}
	time.Sleep(streamstore.Takeover)
	for len(store.saved) > 0 {
		if v := <-store.saved; v.ConfigAt != 0 {
			t.Errorf("stored as routes of configuration %d, though they are not known", v.ConfigAt)
		}
	}
	// That a minute has passed makes them known as well.
	g.loop.PostAndWait(t.Context(), func(_ *balance.State, now time.Time) { g.routes.Restore(now, nil, nil) })
	select {
	case v := <-store.saved:
		if v.ConfigAt != 7 || len(v.Routes) != 1 {
			t.Errorf("stored %+v", v)
		}
	case <-time.After(5 * time.Second):
		t.Error("not stored")
	}
}

// TestTakeUpAfterMissedVersion guards against taking a stream for one of the only version that a router knows of, though
// its process stood still, or was cut off, while the service had another one.
func TestTakeUpAfterMissedVersion(t *testing.T) {
	g, err := New(context.Background(), Options{
		ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StreamStore: newRouteStore(), Codec: jsonCodec{}, Log: logr.Discard(),
		Metrics: counters.New(), Limits: balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
		CopyLimits: freshness.Limits{message.StoreConfig: time.Hour, message.StoreTargets: maxConfigAge},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	g.SetConfig(5, routeTo(t, 1, "x"))
	list := func(revision int64, target balance.Target) {
		g.SetTargets(revision, []message.StoredObject{storedValue(t, target.ID, revision, target)})
		g.StoreConfirmed(message.StoreTargets, clock.Now())
	}
	g.RestoreStreams(streamversion.Stored{Complete: true, ConfigAt: streamversion.NoStreams})
	list(7, targetOf("x", "v1"))
	if a := takeUpAt(t, g, "x"); a.Version != "v1" {
		t.Fatalf("before it was cut off: %+v", a)
	}
	// Meanwhile v2 takes the place of v1 at revision 8, and streams begin at it; at 9 v1 is back.
	time.Sleep(2 * maxConfigAge)
	list(9, targetOf("x", "v1"))
	if a := takeUpAt(t, g, "x"); a.Known {
		t.Errorf("after it was cut off: %+v", a)
	}
}
