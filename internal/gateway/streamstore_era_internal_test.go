package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/counters"
	"github.com/stepcroft/stepcroft/internal/streamstore"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// newVersionStoreGateway returns a router that is alone and writes versions to a store.
func newVersionStoreGateway(t *testing.T, store StreamStore) *Gateway {
	t.Helper()
	g, err := New(context.Background(), Options{
		ID: "r", Zone: "z", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", StreamStore: store, Log: logr.Discard(), Metrics: counters.New(),
		Limits: balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	return g
}

func targetOf(service, version string) balance.Target {
	return balance.Target{ID: service + version, Service: service, Zone: "z", Slots: 1, Address: "127.0.0.1:1", Version: version}
}

func setTargets(t *testing.T, g *Gateway, list ...balance.Target) {
	t.Helper()
	g.loop.PostAndWait(t.Context(), func(s *balance.State, now time.Time) { s.SetTargets(now, list) })
}

// TestVersionsAreStoredForNewEra guards against versions that are never stored for an era of the store that began while
// no router ran: what routers that start later read would not count as complete, and take-ups would be refused.
func TestVersionsAreStoredForNewEra(t *testing.T) {
	saved := make(savedVersions, 10)
	g := newVersionStoreGateway(t, saved)
	setTargets(t, g, targetOf("s", "v1"))
	g.RestoreStreams(streamversion.Stored{
		Versions: []streamversion.Served{{ServiceVersion: streamversion.ServiceVersion{Service: "s", Version: "v1"}}}, Era: 1,
	})
	select {
	case <-saved:
	case <-time.After(streamstore.Takeover + 2*time.Second):
		t.Error("the versions in service were not stored for the era")
	}
}

// TestVersionsOfManyServicesAreStored guards against versions that are not stored since others keep coming.
func TestVersionsOfManyServicesAreStored(t *testing.T) {
	saved := make(savedVersions, 100)
	g := newVersionStoreGateway(t, saved)
	g.RestoreStreams(streamversion.Stored{Complete: true})
	var list []balance.Target
	for i := range 20 {
		list = append(list, targetOf(fmt.Sprint("s", i), "v1"))
		setTargets(t, g, list...)
		time.Sleep(streamstore.Settle * 2 / 3)
	}
	if len(saved) == 0 {
		t.Errorf("nothing was stored in %v", 20*streamstore.Settle*2/3)
	}
}

// TestVersionIsStoredAgainAfterAnotherRouterDroppedIt guards against a version in service that stays unstored since
// another router's word that the store lacks it comes just after this one's write.
func TestVersionIsStoredAgainAfterAnotherRouterDroppedIt(t *testing.T) {
	saved := make(savedVersions, 10)
	g := newVersionStoreGateway(t, saved)
	setTargets(t, g, targetOf("s", "v1"), targetOf("s", "v2"))
	g.RestoreStreams(streamversion.Stored{Complete: true})
	<-saved
	v1, v2 := streamversion.ServiceVersion{Service: "s", Version: "v1"}, streamversion.ServiceVersion{Service: "s", Version: "v2"}
	g.VersionsStored(0, []streamversion.ServiceVersion{v1, v2}, true)
	g.VersionsStored(0, []streamversion.ServiceVersion{v1}, false)
	select {
	case <-saved:
	case <-time.After(5 * time.Second):
		t.Error("not stored again")
	}
}
