package catalog_test

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
)

// TestProcessAfterClockWasSetBack guards against a target whose entry stays that of its earlier process, since the clock
// by which the next one tells its start was set back: streams there would be taken for those of the earlier one's version.
func TestProcessAfterClockWasSetBack(t *testing.T) {
	k := catalog.New(bornCodec{}, drainPeriod, entryTTL)
	now := time.Unix(1000, 0)
	k.SetTargets(now, 2, []message.StoredObject{entryOf("a", 2, "5000")})
	// Each process writes its entry again and again.
	for revision := int64(3); revision < 30; revision++ {
		now = now.Add(time.Second)
		k.ApplyTargets(now, revision, []catalog.Change{{StoredObject: entryOf("a", revision, "3000")}})
	}
	if got := inUse(k); got != "a@3000" {
		t.Errorf("%q after 27 s in which only the later process wrote its entry", got)
	}
}
