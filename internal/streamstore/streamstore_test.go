package streamstore_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/streamstore"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

const tick = 50 * time.Millisecond

// rig stands in for all that a keeper depends on: the fleet in which the router has a rank, the copy of the store and the
// store itself.
type rig struct {
	*streamstore.Keeper
	state *balance.State
	now   time.Time
	// rank is how many of 100 routers rank before this one, and config the revision of the configuration in force.
	rank   int
	config int64
	// saved has how long after the start versions were written, and reads the revisions from which configurations were read.
	saved []time.Duration
	reads []int64
}

var start = time.Unix(1000, 0)

func newRig(rank int) *rig {
	r := &rig{now: start, rank: rank, state: balance.New(start, "z", balance.Limits{}, rand.New(rand.NewPCG(1, 1)))}
	r.state.RequireStoredVersions()
	r.Keeper = streamstore.New(start, streamstore.Options{
		Store: r, Streams: streamversion.New(start, r), Routes: routehistory.New(start, streamversion.TTL), Catalog: r, Copies: r, Metrics: r,
		Wake: func(time.Time) {}, Log: logr.Discard(),
	})
	return r
}

func (*rig) SetHeldStreams(int64)                                     {}
func (*rig) TargetsRevision() int64                                   { return 0 }
func (r *rig) Complete() message.Revisions                            { return message.Revisions{Config: r.config} }
func (*rig) Follows(message.StoreKind) bool                           { return true }
func (*rig) Limit(message.StoreKind) time.Duration                    { return time.Second }
func (*rig) Age(time.Time, message.StoreKind) (time.Duration, string) { return 0, "store" }
func (r *rig) First(time.Time, string) bool                           { return r.rank == 0 }
func (*rig) Size(time.Time) int                                       { return 100 }
func (*rig) SaveStreams(streamversion.Snapshot) bool                  { return true }
func (*rig) ReadVersions()                                            {}
func (*rig) ReadZoneDrains(int64)                                     {}
func (*rig) ReadPast(int64, int64)                                    {}
func (r *rig) ReadConfigs(since int64)                                { r.reads = append(r.reads, since) }

// Ranked implements streamversion.Fleet.
func (r *rig) Ranked(_ time.Time, _ string, n int) []string {
	if r.rank < n {
		n--
	}
	return make([]string, n)
}

func (r *rig) SaveVersions(streamversion.Versions) bool {
	r.saved = append(r.saved, r.now.Sub(start))
	return true
}

// run passes time.
func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(tick) {
		r.Tick(r.state, r.now)
	}
}

// TestOneRouterWritesVersions guards against versions that nobody writes, since the router that is to write them can't,
// and against writes of all routers.
func TestOneRouterWritesVersions(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct {
		rank int
		// restored is when what is stored was read.
		restored, want time.Duration
	}{
		"first":                        {0, 0, streamstore.Settle},
		"first, restored late":         {0, 2 * time.Second, 2 * time.Second},
		"second":                       {1, 0, streamstore.Takeover},
		"third":                        {2, 0, 2 * streamstore.Takeover},
		"far behind":                   {50, 0, never},
		"first, what is stored unread": {0, never, never},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(c.rank)
			r.state.SetTargets(start, []balance.Target{{ID: "e", Service: "s", Zone: "z", Slots: 1, Address: "127.0.0.1:1", Version: "v1"}})
			if c.restored < never {
				r.run(c.restored)
				r.Restore(r.state, r.now, streamversion.Stored{Complete: true, RoutesUnknown: true})
			}
			r.run(30 * time.Second)
			if c.want == never {
				if len(r.saved) > 0 {
					t.Error("written at", r.saved)
				}
				return
			}
			if len(r.saved) != 1 || r.saved[0] < c.want || r.saved[0] > c.want+2*tick {
				t.Errorf("written at %v, want %v", r.saved, c.want)
			}
		})
	}
}

// TestConfigurationsAreReadUntilKnown guards against a take-up that waits for configurations that nobody reads again, or
// goes on by the answer to an earlier read.
func TestConfigurationsAreReadUntilKnown(t *testing.T) {
	r := newRig(0)
	r.config = 9
	r.Restore(r.state, r.now, streamversion.Stored{Complete: true, ConfigAt: 5})
	read := r.AwaitPast(r.state, r.now, forward.TakeUp{Service: "s", Stream: "r"})
	r.run(4 * streamstore.HistoryInterval)
	if len(r.reads) != 4 || r.reads[0] != 5 {
		t.Errorf("read after %v", r.reads)
	}
	for _, since := range []int64{4, 5} {
		r.SetConfigs(r.now, since, nil, true)
		ended := false
		select {
		case <-read:
			ended = true
		default:
		}
		if ended != (since == 5) {
			t.Errorf("known by the configurations after %d: %t", since, ended)
		}
	}
	if r.AwaitPast(r.state, r.now, forward.TakeUp{Service: "s", Stream: "r"}) != nil {
		t.Error("more is awaited")
	}
}
