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

// TestLateWritesOfEarlierProcess guards against taking late writes of a process that has ended for those of one whose clock
// was set back, as long as another one writes the entry or there was no time for the store to remove it.
func TestLateWritesOfEarlierProcess(t *testing.T) {
	for name, c := range map[string]struct {
		// writes has the start of the process that writes the entry every half a TTL, "" if it is removed, "-" for no write.
		writes []string
		want   string
	}{
		"one late write":                 {writes: []string{"5000", "3000", "-", "-"}, want: "a@5000"},
		"two within the TTL":             {writes: []string{"5000", "3000", "3000", "-", "-"}, want: "a@5000"},
		"for longer":                     {writes: []string{"5000", "3000", "3000", "3000"}, want: "a@3000"},
		"the known one writes between":   {writes: []string{"5000", "3000", "5000", "3000", "3000"}, want: "a@5000"},
		"of two processes":               {writes: []string{"5000", "3000", "4000", "3000", "4000"}, want: "a@5000"},
		"it was removed":                 {writes: []string{"5000", "3000", "", "3000", "3000"}, want: ""},
		"it was removed, and for longer": {writes: []string{"5000", "", "3000", "3000", "3000"}, want: "a@3000"},
	} {
		t.Run(name, func(t *testing.T) {
			k := catalog.New(bornCodec{}, drainPeriod, entryTTL)
			now := time.Unix(1000, 0)
			for i, born := range c.writes {
				now = now.Add(entryTTL / 2)
				change := catalog.Change{StoredObject: entryOf("a", int64(2+i), born), Gone: born == ""}
				if born != "-" {
					k.ApplyTargets(now, int64(2+i), []catalog.Change{change})
				}
			}
			if got := inUse(k); got != c.want {
				t.Errorf("%q in use, want %q", got, c.want)
			}
		})
	}
}
