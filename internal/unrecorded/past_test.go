package unrecorded_test

import (
	"math"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/streamversion"
	"github.com/stepcroft/stepcroft/internal/unrecorded"
)

func written(name string, revision int64, service, version string) unrecorded.Change {
	return unrecorded.Change{Name: name, Revision: revision, Decoded: true, ServiceVersion: streamversion.ServiceVersion{Service: service, Version: version}}
}

func gone(name string, revision int64) unrecorded.Change {
	return unrecorded.Change{Name: name, Revision: revision, Gone: true}
}

// TestOtherVersionThatLeft guards against taking a stream for one of a version though it may have begun at another one
// that has left again, and against refusing one of the only version that there was.
func TestOtherVersionThatLeft(t *testing.T) {
	const storedAt = 10
	kept := func(changes ...unrecorded.Change) []unrecorded.Past {
		return []unrecorded.Past{unrecorded.NewPast(storedAt, storedAt+20, changes)}
	}
	goneTells := gone("b", 21)
	goneTells.Decoded, goneTells.ServiceVersion = true, streamversion.ServiceVersion{Service: "s", Version: "v2"}
	for name, c := range map[string]struct {
		open  int64
		reads []unrecorded.Past
		// none is set if no other version can have begun the stream, unknown if that is not known.
		none, unknown bool
	}{
		"open since before the store was written": {open: 9, none: true},
		"not read":                                   {open: 20, unknown: true},
		"open for longer than the history":           {open: 20, reads: []unrecorded.Past{{Gone: 20}}, none: true},
		"open for longer than what is gone":          {open: 20, reads: []unrecorded.Past{{Gone: 25}}, none: true},
		"changed later than what is gone":            {open: 20, reads: []unrecorded.Past{{Gone: 15}}, unknown: true},
		"changed within the history":                 {open: 20, reads: []unrecorded.Past{{Gone: storedAt, Kept: 20}}},
		"changed before the history that was read":   {open: 20, reads: []unrecorded.Past{{Gone: storedAt, Kept: 30}}, unknown: true},
		"both were read":                             {open: 20, reads: []unrecorded.Past{{Gone: storedAt, Kept: 30}, {Gone: 20}}, none: true},
		"was not open, the history is gone":          {open: math.MaxInt64, reads: []unrecorded.Past{{Gone: storedAt, Kept: math.MaxInt64}}},
		"was not open, there was no other":           {open: math.MaxInt64, reads: kept(), none: true},
		"no other version":                           {open: 20, reads: kept(written("a", 12, "s", "v1"), written("a", 20, "s", "v1")), none: true},
		"another one left":                           {open: 20, reads: kept(written("b", 15, "s", "v2"), gone("b", 18))},
		"another one came once it was open":          {open: 12, reads: kept(written("a", 12, "s", "v1"), written("b", 15, "s", "v2"), gone("b", 18)), none: true},
		"one that was there before left":             {open: 20, reads: kept(goneTells)},
		"one of a version that is not known left":    {open: 20, reads: kept(gone("b", 21))},
		"another one became it":                      {open: 20, reads: kept(written("a", 15, "s", "v2"), written("a", 20, "s", "v1"))},
		"another service's left":                     {open: 20, reads: kept(written("b", 15, "t", "v2"), gone("b", 18)), none: true},
		"an earlier target of it left":               {open: 20, reads: kept(written("b", 15, "s", "v1"), gone("b", 18)), none: true},
		"what no router could read came and left":    {open: 20, reads: kept(unrecorded.Change{Name: "b", Revision: 15}, gone("b", 18)), none: true},
		"another one left, and the history was gone": {open: 20, reads: append(kept(written("b", 15, "s", "v2")), unrecorded.Past{Gone: 5})},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			var e unrecorded.Evidence
			e.RequirePast(storedAt, now.Add(time.Minute))
			for _, p := range c.reads {
				e.SetPast(p)
			}
			if none, known := e.OthersKnown(now, "s", "v1", c.open); none != c.none || known == c.unknown {
				t.Errorf("no other version %t, known %t, want %t, %t", none, known, c.none, !c.unknown)
			}
			if none, known := e.OthersKnown(now.Add(time.Minute), "s", "v1", c.open); !none || !known {
				t.Error("matters later as well")
			}
		})
	}
}
