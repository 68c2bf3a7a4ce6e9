package streamversion_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// permutations returns all orders of a list.
func permutations[T any](list []T) [][]T {
	if len(list) <= 1 {
		return [][]T{slices.Clone(list)}
	}
	var out [][]T
	for i, first := range list {
		for _, rest := range permutations(slices.Concat(list[:i], list[i+1:])) {
			out = append(out, append([]T{first}, rest...))
		}
	}
	return out
}

// TestLateRecordOfStream guards against a stream that is taken for one of a version that was corrected, as an earlier
// record arrives after the correction or a second time.
func TestLateRecordOfStream(t *testing.T) {
	record := func(version string, corrections uint32) streamversion.Record {
		return streamversion.Record{Key: 1, Version: version, Corrections: corrections}
	}
	for name, c := range map[string]struct {
		// told are the records of a stream, each of which arrives twice, in any order.
		told []streamversion.Record
		want string
	}{
		"unknown after all":                  {told: []streamversion.Record{record("v1", 0), record(streamversion.Unknown, 1)}, want: streamversion.Unknown},
		"of another version":                 {told: []streamversion.Record{record("v1", 0), record("v2", 1)}, want: "v2"},
		"unknown, then known":                {told: []streamversion.Record{record("v1", 0), record(streamversion.Unknown, 1), record("v2", 2)}, want: "v2"},
		"began as unknown":                   {told: []streamversion.Record{record(streamversion.Unknown, 0), record("v2", 1)}, want: "v2"},
		"taken up by an older belief":        {told: []streamversion.Record{record("v1", 0), record("v1", 0), record(streamversion.Unknown, 1)}, want: streamversion.Unknown},
		"begun at two versions":              {told: []streamversion.Record{record("v1", 0), record("v2", 0)}, want: streamversion.Unknown},
		"begun at two versions, the same id": {told: []streamversion.Record{record("v1", 0), record("v2", 0), record("v1", 0)}, want: streamversion.Unknown},
		"corrected by two":                   {told: []streamversion.Record{record("v1", 0), record("v2", 1), record("v3", 1)}, want: streamversion.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			for _, order := range permutations(c.told) {
				for _, late := range order {
					f := newFleet(1)
					d := f.routers["router-0"]
					f.down["other"] = true
					for _, r := range append(slices.Clone(order), late) {
						d.Receive(f.now, "other", streamversion.Message{Records: []streamversion.Record{r}})
						// A doubled one may come after records have been rotated.
						f.now = f.now.Add(streamversion.TTL / 2)
					}
					if got, _ := f.lookup("router-0", ""); got.Known {
						t.Fatal("a stream that nobody began is known")
					}
					d.Lookup(f.now, 1, func(a streamversion.Answer) {
						if a.Version != c.want {
							t.Errorf("%+v, then %+v: believed %q, want %q", order, late, a.Version, c.want)
						}
					})
				}
			}
		})
	}
}

// TestCorrectionReachesAll guards against routers that go back to the version before a correction: as the router that
// begins a stream tells of both, as it hands records over, as another one has taken the stream up by an older belief, or
// as what is stored is read.
func TestCorrectionReachesAll(t *testing.T) {
	key := streamversion.KeyOf("begun")
	for name, play := range map[string]func(f *fleet, s stored){
		"told": func(*fleet, stored) {},
		"handed over": func(f *fleet, _ stored) {
			for i := range 30 {
				f.known = append(f.known, fmt.Sprint("new-", i))
				f.start(fmt.Sprint("new-", i))
			}
			f.run(time.Second)
		},
		"taken up by an older belief": func(f *fleet, _ stored) {
			f.begin("router-3", "begun", "v1")
			f.run(100 * time.Millisecond)
		},
		"told once more by the one that began it": func(f *fleet, _ stored) {
			f.begin("router-0", "begun", streamversion.Unknown)
			f.run(100 * time.Millisecond)
		},
		"an older copy of what is stored is added": func(f *fleet, _ stored) {
			for _, id := range f.known {
				f.routers[id].Add(f.now, []streamversion.Record{{Key: key, Version: "v1"}})
			}
		},
		"restarted with an older copy of what is stored": func(f *fleet, _ stored) {
			for _, id := range f.known[4:6] {
				f.routers[id] = streamversion.New(f.now, view{f, id})
				f.routers[id].Restore(f.now, []streamversion.Record{{Key: key, Version: "v1"}}, true)
			}
		},
		"all are killed": func(f *fleet, s stored) {
			for _, id := range f.known {
				f.routers[id] = streamversion.New(f.now, view{f, id})
				f.routers[id].Restore(f.now, s.records(), true)
			}
		},
	} {
		for gap, wait := range map[string]time.Duration{"at once": 10 * time.Millisecond, "in another slot": 3 * time.Second} {
			t.Run(name+", "+gap, func(t *testing.T) {
				f, s := newFleet(8), stored{}
				f.begin("router-0", "begun", "v1")
				f.run(wait)
				s.store(f)
				f.routers["router-0"].Correct(f.now, key, streamversion.Unknown)
				f.run(100 * time.Millisecond)
				s.store(f)
				play(f, s)
				for _, id := range f.known {
					if a, _ := f.lookup(id, "begun"); a.Version != streamversion.Unknown {
						t.Errorf("%s: %+v", id, a)
					}
				}
			})
		}
	}
}

// TestLostCorrection guards against routers that go on telling a version that was corrected, since the message that
// said so was lost.
func TestLostCorrection(t *testing.T) {
	f := newFleet(8)
	f.begin("router-0", "begun", "v1")
	f.run(time.Second)
	d := f.routers["router-0"]
	d.Correct(f.now, streamversion.KeyOf("begun"), streamversion.Unknown)
	if len(d.Take()) == 0 {
		t.Fatal("no other router is told")
	}
	f.run(500 * time.Millisecond)
	f.down["router-0"] = true
	for _, id := range f.known[1:] {
		if a, _ := f.lookup(id, "begun"); a.Version != streamversion.Unknown {
			t.Errorf("%s: %+v", id, a)
		}
	}
	f.down["router-0"] = false
	if f.run(25 * time.Second); !d.Idle() {
		t.Error("the router is not idle long after the correction")
	}
}

// TestLookupWhereRouterStandsStillAgainAndAgain guards against callers that wait for ever at a router that stands still
// all the time.
func TestLookupWhereRouterStandsStillAgainAndAgain(t *testing.T) {
	f := newFleet(2)
	f.begin("router-0", "begun", "v1")
	f.run(100 * time.Millisecond)
	d := f.routers["router-0"]
	d.Resume(f.now)
	var got streamversion.Answer
	d.Lookup(f.now, streamversion.KeyOf("begun"), func(a streamversion.Answer) { got = a })
	for range 30 {
		d.Resume(f.now)
		f.run(50 * time.Millisecond)
	}
	if got.Version != "v1" {
		t.Errorf("got %+v after 1.5 s", got)
	}
}

// TestLookupWhereOneRouterMissedCorrection guards against a stream that goes on at a version that was corrected, since the
// first router that answers could not be told so.
func TestLookupWhereOneRouterMissedCorrection(t *testing.T) {
	key := streamversion.KeyOf("begun")
	for missed := range 7 {
		f := newFleet(8)
		f.begin("router-0", "begun", "v1")
		f.run(100 * time.Millisecond)
		cut := f.known[1+missed]
		f.down[cut] = true
		f.routers["router-0"].Correct(f.now, key, streamversion.Unknown)
		f.run(2 * time.Second)
		f.down["router-0"], f.down[cut] = true, false
		for _, id := range f.known[1:] {
			var got streamversion.Answer
			f.routers[id].Lookup(f.now, key, func(a streamversion.Answer) { got = a })
			// The one that missed it answers first.
			for _, o := range f.routers[id].Take() {
				if o.To == cut {
					f.routers[cut].Receive(f.now, id, o.Message)
					for _, back := range f.routers[cut].Take() {
						f.routers[id].Receive(f.now, cut, back.Message)
					}
					continue
				}
				if !f.down[o.To] {
					f.routers[o.To].Receive(f.now, id, o.Message)
				}
			}
			f.run(time.Second)
			if got.Version != streamversion.Unknown {
				t.Errorf("%s, which %s answers first: %+v", id, cut, got)
			}
		}
	}
}

// TestContradictedRecordIsHandedOver guards against a stream of which nothing is stored, since the routers that began it
// at two versions take what they have told one another for the record of a stream of others.
func TestContradictedRecordIsHandedOver(t *testing.T) {
	key := streamversion.KeyOf("begun")
	f, s := newFleet(8), stored{}
	f.begin("router-0", "begun", "v1")
	f.begin("router-1", "begun", "v2")
	f.run(time.Second)
	// All others are replaced, the one that stores the record among them.
	for _, id := range f.known[2:] {
		f.down[id] = true
	}
	f.known = f.known[:2]
	for i := range 6 {
		f.known = append(f.known, fmt.Sprint("new-", i))
		f.start(fmt.Sprint("new-", i))
	}
	f.run(time.Second)
	s.store(f)
	want := streamversion.Record{Key: key, Version: streamversion.Unknown}
	if list := s.records(); !slices.Contains(list, want) {
		t.Errorf("stored %+v, want %+v", list, want)
	}
}
