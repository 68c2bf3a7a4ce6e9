package catalog_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
)

// fleetSizes are the numbers of targets at which the growth of work and memory is checked.
var fleetSizes = []int{1_000, 4_000, 16_000}

// entryBytes is the size of a target's entry on a known platform.
const entryBytes = 180

// fleetCodec decodes a value that is an address in a long entry.
type fleetCodec struct{ codec }

func (fleetCodec) Target(name string, value []byte) (balance.Target, error) {
	return balance.Target{ID: name, Service: "s", Zone: "z", Address: string(value[:16])}, nil
}

func fleetEntry(i int, revision int64) message.StoredObject {
	value := fmt.Appendf(nil, "%016d%0*d", i, entryBytes-16, revision)
	return message.StoredObject{Name: fmt.Sprintf("i-%08d", i), Revision: revision, Value: value}
}

// fleetCatalog returns a catalog of n targets at revision n.
func fleetCatalog(now time.Time, n int) *catalog.Catalog {
	c := catalog.New(fleetCodec{}, drainPeriod, entryTTL)
	list := make([]message.StoredObject, n)
	for i := range list {
		list[i] = fleetEntry(i, int64(i+1))
	}
	c.SetTargets(now, int64(n), list)
	c.TakeChanges()
	return c
}

func allocated(f func()) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc)
}

// TestMemoryOfEntries checks what a target's entry takes beyond its own bytes. With 10,000 targets
// a router has room for 600 bytes each in its copy of the store.
func TestMemoryOfEntries(t *testing.T) {
	const maxBytesPerEntry = 800 - entryBytes
	for _, n := range fleetSizes {
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c := fleetCatalog(time.Unix(1000, 0), n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		if per := int64(after.HeapAlloc-before.HeapAlloc)/int64(n) - entryBytes; per > maxBytesPerEntry {
			t.Errorf("%d targets: %d bytes each besides the entry, want at most %d", n, per, maxBytesPerEntry)
		}
		runtime.KeepAlive(c)
	}
}

// TestChangeCostsWhatChanged checks that neither the memory allocated to apply a change and pass
// it on, nor that for the passing of time, grows with the number of targets.
func TestChangeCostsWhatChanged(t *testing.T) {
	const (
		changes           = 100
		maxBytesPerChange = 8 << 10
	)
	for _, n := range fleetSizes {
		now := time.Unix(1000, 0)
		c := fleetCatalog(now, n)
		bytes := allocated(func() {
			for i := range changes {
				known := c.Complete()
				next := known.Targets + 2
				c.ApplyTargets(now, next, []catalog.Change{
					{StoredObject: fleetEntry(i*n/changes, next-1)},
					{StoredObject: message.StoredObject{Name: fleetEntry(i*n/changes+1, 0).Name, Revision: next}, Gone: true},
				})
				if got := c.TakeChanges(); len(got.Changed) != 1 || len(got.Removed) != 1 {
					t.Fatalf("%d targets: %d changed and %d removed, want one each", n, len(got.Changed), len(got.Removed))
				}
				if got := c.Copy(now, message.NeedCopy{Revisions: known}).Targets; len(got.List) != 1 || len(got.Removed) != 1 {
					t.Fatalf("%d targets: copy with %d changed and %d removed, want one each", n, len(got.List), len(got.Removed))
				}
				c.ExpireLapsed(now)
				c.Settle(now)
			}
		})
		if per := bytes / changes; per > maxBytesPerChange {
			t.Errorf("%d targets: %d bytes allocated for a change, want at most %d", n, per, maxBytesPerChange)
		}
	}
}

// TestListAfterLostHistory checks that routers that lack a few changes get just these from one that
// had to read the whole list again, because the store had dropped its history.
func TestListAfterLostHistory(t *testing.T) {
	for _, n := range fleetSizes {
		now := time.Unix(1000, 0)
		reader, behind := fleetCatalog(now, n), fleetCatalog(now, n)
		revision := int64(n + 10)
		var list []message.StoredObject
		for i := range n {
			switch {
			case i < 3:
				// Gone.
			case i < 8:
				list = append(list, fleetEntry(i, revision-int64(i)))
			default:
				list = append(list, fleetEntry(i, int64(i+1)))
			}
		}
		reader.SetTargets(now, revision, list)
		m := reader.Copy(now, message.NeedCopy{Revisions: behind.Complete()})
		if len(m.Targets.List) != 5 || len(m.Targets.Removed) != 3 {
			t.Errorf("%d targets: copy with %d changed and %d removed, want 5 and 3", n, len(m.Targets.List), len(m.Targets.Removed))
		}
		behind.Merge(now, m)
		if !slices.Equal(reader.Targets(), behind.Targets()) {
			t.Errorf("%d targets: lists differ after the copy", n)
		}
	}
}

// TestCopiesAfterManyChanges replaces most targets of a fleet and lets another router fall behind by
// a random number of changes, more than are remembered at times. After each copy it has the same
// targets.
func TestCopiesAfterManyChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	ahead, behind := fleetCatalog(now, 1_000), fleetCatalog(now, 1_000)
	differences, whole := 0, 0
	for range 300 {
		for range random.IntN(60) * random.IntN(60) {
			revision := ahead.TargetsRevision() + 1
			ch := catalog.Change{StoredObject: fleetEntry(random.IntN(1_500), revision), Gone: random.IntN(3) == 0}
			ahead.ApplyTargets(now, revision, []catalog.Change{ch})
		}
		m := ahead.Copy(now, message.NeedCopy{Revisions: behind.Complete()})
		if m.Targets.Since > 0 {
			differences++
		} else {
			whole++
		}
		behind.Merge(now, m)
		if !slices.Equal(ahead.Targets(), behind.Targets()) {
			t.Fatalf("targets differ after a copy of the changes since %d", m.Targets.Since)
		}
	}
	if differences < 10 || whole < 10 {
		t.Errorf("%d copies with changes and %d with whole lists, want some of both", differences, whole)
	}
}

// TestTakenChangesAddUp applies what TakeChanges returns to a list and compares it with Targets,
// while entries change, lapse and return, and zones are drained.
func TestTakenChangesAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	c := catalog.New(zoneCodec{}, drainPeriod, entryTTL)
	taken := map[string]balance.Target{}
	for step := range 2_000 {
		now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
		revision := c.TargetsRevision() + 1
		name := fmt.Sprint("t", random.IntN(12))
		switch random.IntN(8) {
		case 0:
			c.MarkUnstable(now)
		case 1:
			zones := []message.StoredObject{}
			for i := range random.IntN(3) {
				zones = append(zones, message.StoredObject{Name: fmt.Sprint("z", i), Revision: int64(step + 1)})
			}
			c.SetZones(now, int64(step+1), zones)
		case 2, 3:
			c.ApplyTargets(now, revision, []catalog.Change{{StoredObject: message.StoredObject{Name: name, Revision: revision}, Gone: true}})
		default:
			value := []byte(fmt.Sprint("z", random.IntN(3)))
			c.ApplyTargets(now, revision, []catalog.Change{{StoredObject: message.StoredObject{Name: name, Revision: revision, Value: value}}})
		}
		c.ExpireLapsed(now)
		c.Settle(now)
		changes := c.TakeChanges()
		for _, target := range changes.Changed {
			taken[target.ID] = target
		}
		for _, id := range changes.Removed {
			delete(taken, id)
		}
		want := c.Targets()
		if len(want) != len(taken) {
			t.Fatalf("step %d: %d targets by changes, want %d", step, len(taken), len(want))
		}
		for _, target := range want {
			if got := taken[target.ID]; got != target {
				t.Fatalf("step %d: %+v by changes, want %+v", step, got, target)
			}
		}
	}
}

// zoneCodec decodes a target whose value is its zone.
type zoneCodec struct{ codec }

func (zoneCodec) Target(name string, value []byte) (balance.Target, error) {
	return balance.Target{ID: name, Service: "s", Zone: string(value)}, nil
}
