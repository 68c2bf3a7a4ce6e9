package catalog_test

import (
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
