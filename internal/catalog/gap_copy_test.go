package catalog_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
)

// TestRemovalInGapOfAnother guards against a target that is used although its entry has gone, at a router that got the
// changes since from one that had them from a third one, in whose gap the entry came and went.
func TestRemovalInGapOfAnother(t *testing.T) {
	now := time.Unix(1000, 0)
	var routers [3]*catalog.Catalog
	for i := range routers {
		routers[i] = catalog.New(bornCodec{}, drainPeriod, entryTTL)
	}
	merge := func(to, from int) {
		routers[to].Merge(now, routers[from].Copy(now, message.NeedCopy{Revisions: message.Revisions{Targets: routers[to].TargetsRevision()}}))
	}
	// The entry b comes at 2, a at 3, and b goes at 4.
	routers[0].SetTargets(now, 1, nil)
	routers[1].SetTargets(now, 1, nil)
	routers[2].SetTargets(now, 2, []message.StoredObject{entryOf("b", 2, "1")})
	routers[1].SetTargets(now, 4, []message.StoredObject{entryOf("a", 3, "1")})
	merge(0, 1)
	merge(2, 0)
	if got := inUse(routers[2]); got != "a@1" || routers[2].TargetsRevision() != 4 {
		t.Errorf("%q in use as of %d", got, routers[2].TargetsRevision())
	}
}

// TestChangesInGap guards against whole lists for all routers whose own list is as of a revision in the gap of another one,
// when the store has dropped its history.
func TestChangesInGap(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, n := range fleetSizes {
		for name, drops := range map[string]bool{"of this release": true, "of an earlier one": false} {
			reader, third, inGap := fleetCatalog(now, n), fleetCatalog(now, n), fleetCatalog(now, n)
			at := int64(n)
			inGap.ApplyTargets(now, at+2, []catalog.Change{{StoredObject: fleetEntry(n, at+1)}, {StoredObject: fleetEntry(0, at+2)}})
			var list []message.StoredObject
			for i := 1; i < n; i++ {
				list = append(list, fleetEntry(i, int64(i+1)))
			}
			list[0].Revision = at + 4
			reader.SetTargets(now, at+5, list)
			third.Merge(now, reader.Copy(now, message.NeedCopy{Revisions: third.Complete(), DropsUnlisted: true}))
			m := third.Copy(now, message.NeedCopy{Revisions: inGap.Complete(), DropsUnlisted: drops})
			if want := map[bool]int{true: 1, false: n - 1}[drops]; len(m.Targets.List) != want {
				t.Errorf("%d targets, a router %s: copy with %d of them, want %d", n, name, len(m.Targets.List), want)
			}
			inGap.Merge(now, m)
			if !slices.Equal(third.Targets(), inGap.Targets()) || inGap.TargetsRevision() != third.TargetsRevision() {
				t.Errorf("%d targets, a router %s: lists differ after the copy", n, name)
			}
		}
	}
}

// TestChangesWithoutGaps guards against a list that counts as complete though a router of an earlier release, which
// doesn't tell its gaps, chose its changes for an older one, and against the removal of what is newer than they are.
func TestChangesWithoutGaps(t *testing.T) {
	now := time.Unix(1000, 0)
	c := catalog.New(bornCodec{}, drainPeriod, entryTTL)
	// The entry ahead was written while the list was read.
	c.SetTargets(now, 2, []message.StoredObject{entryOf("gone", 2, "1"), entryOf("ahead", 9, "1")})
	c.Merge(now, message.Copy{Targets: message.StoredObjects{Revision: 4, Since: 1, List: []message.StoredObject{entryOf("a", 3, "1")}}})
	if got := inUse(c); got != "a@1 ahead@1" || c.TargetsRevision() != 2 {
		t.Errorf("%q in use as of %d, want a and the one ahead as of 2", got, c.TargetsRevision())
	}
}
