package catalog_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// drainPeriod is how long a leaving target continues to serve.
const drainPeriod = 2 * time.Second

// entryTTL is the time after which the store removes the entry of a target that has stopped
// writing it.
const entryTTL = 4 * time.Second

// codec decodes a configuration that is only a version number, and a target whose value is its
// address.
type codec struct{}

func (codec) Table(value []byte) (*routing.Table, error) {
	v, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "table")
	}
	return routing.New(routing.Spec{Version: v, Services: []routing.Service{{Name: "s"}}})
}

// noneIgnored checks that all entries described usable targets.
func noneIgnored(t interface{ Fatalf(string, ...any) }, c *catalog.Catalog) {
	if list, _ := c.Ignored(); len(list) > 0 {
		t.Fatalf("ignored: %v", list)
	}
}

func (codec) Target(name string, value []byte) (balance.Target, error) {
	return balance.Target{ID: name, Service: "s", Address: string(value)}, nil
}

// history is a simple model of a store that keeps all its changes, one per revision.
type history struct {
	events []catalog.Change
}

// at returns the objects of the targets as of a revision, by name.
func (h *history) at(revision int64) map[string]message.StoredObject {
	out := map[string]message.StoredObject{}
	for _, e := range h.events {
		if e.Revision > revision {
			break
		}
		if e.Gone {
			delete(out, e.Name)
			continue
		}
		out[e.Name] = e.StoredObject
	}
	return out
}

func (h *history) list(revision int64) []message.StoredObject {
	return slices.Collect(maps.Values(h.at(revision)))
}

// TestCopies updates the catalogs of three routers from a store, with delayed, partial and
// repeated lists and changes, and from each other. It compares their targets with those of the
// store as of the revision that the catalog returns.
func TestCopies(t *testing.T) {
	invariant.Strict()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		h := &history{}
		routers := make([]*catalog.Catalog, 3)
		for i := range routers {
			routers[i] = catalog.New(codec{}, drainPeriod, entryTTL)
		}
		which := func() *catalog.Catalog { return routers[rapid.IntRange(0, 2).Draw(t, "router")] }
		revision := func() int64 { return int64(rapid.IntRange(0, len(h.events)).Draw(t, "revision")) }
		configs := map[*catalog.Catalog]int64{}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				n := int64(len(h.events) + 1)
				name := strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "name"))
				_, there := h.at(n)[name]
				e := catalog.Change{StoredObject: message.StoredObject{Name: name, Revision: n, Value: []byte(strconv.FormatInt(n, 10))}}
				e.Gone = there && rapid.Bool().Draw(t, "gone")
				h.events = append(h.events, e)
			},
			"list": func(t *rapid.T) {
				r := revision()
				k := which()
				k.SetTargets(now, r, h.list(r))
				noneIgnored(t, k)
			},
			"watch": func(t *rapid.T) {
				c := which()
				from := int64(rapid.IntRange(0, int(c.TargetsRevision())).Draw(t, "from"))
				to := max(revision(), from)
				c.ApplyTargets(now, to, slices.Clone(h.events[from:to]))
				noneIgnored(t, c)
			},
			"copy": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "to")
				to, from := routers[i], routers[(i+rapid.IntRange(1, 2).Draw(t, "from"))%3]
				m := from.Copy(now, message.NeedCopy{
					Revisions: message.Revisions{Config: to.ConfigRevision(), Targets: to.TargetsRevision()}, DropsUnlisted: rapid.Bool().Draw(t, "drops"),
				})
				to.Merge(now, m)
				noneIgnored(t, to)
				if to.TargetsRevision() < from.TargetsChanged() {
					t.Fatalf("at revision %d after a copy with changes up to %d", to.TargetsRevision(), from.TargetsChanged())
				}
				if len(m.Config) > 0 {
					if _, err := to.SetConfig(m.ConfigRevision, m.Config); err != nil {
						t.Fatal(err)
					}
				}
			},
			"configure": func(t *rapid.T) {
				r := int64(rapid.IntRange(1, 20).Draw(t, "config"))
				if _, err := which().SetConfig(r, []byte(strconv.FormatInt(r, 10))); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for _, c := range routers {
					if c.ConfigRevision() < configs[c] {
						t.Fatalf("configuration went back to revision %d", c.ConfigRevision())
					}
					configs[c] = c.ConfigRevision()
					want := h.at(c.TargetsRevision())
					got := c.Targets()
					if len(got) != len(want) {
						t.Fatalf("at %d: have %v, want %v", c.TargetsRevision(), got, want)
					}
					for _, target := range got {
						if string(want[target.ID].Value) != target.Address {
							t.Fatalf("at %d: have %v, want %v", c.TargetsRevision(), target, want[target.ID])
						}
					}
				}
			},
		})
	})
}

func TestLapse(t *testing.T) {
	now := time.Now()
	c := catalog.New(codec{}, drainPeriod, entryTTL)
	entry := []message.StoredObject{{Name: "a", Revision: 1, Value: []byte("x")}}
	c.SetTargets(now, 1, entry)
	noneIgnored(t, c)
	c.MarkUnstable(now)
	c.SetTargets(now, 2, nil)
	noneIgnored(t, c)
	if len(c.Targets()) != 1 {
		t.Fatal("a target whose entry lapsed while the store was unavailable is not used")
	}
	if len(c.ExpireLapsed(now.Add(3*time.Second))) != 1 || len(c.Targets()) != 0 {
		t.Fatal("a target that did not come back is still used")
	}
	c.SetTargets(now, 3, entry)
	noneIgnored(t, c)
	if len(c.Targets()) != 1 {
		t.Fatal("a target that came back is not used")
	}
}

// TestLapseIsForwarded checks that two routers that copy from each other, one of which has
// seen trouble with the store, keep a lapsed entry as long as that one would alone, however
// often they copy.
func TestLapseIsForwarded(t *testing.T) {
	now := time.Now()
	a, b := catalog.New(codec{}, drainPeriod, entryTTL), catalog.New(codec{}, drainPeriod, entryTTL)
	target := func(name string, revision int64) message.StoredObject {
		return message.StoredObject{Name: name, Revision: revision, Value: []byte("x")}
	}
	take := func(to, from *catalog.Catalog) {
		t.Helper()
		to.Merge(now, from.Copy(now, message.NeedCopy{Revisions: message.Revisions{Targets: to.TargetsRevision()}}))
		noneIgnored(t, to)
	}
	a.SetTargets(now, 1, []message.StoredObject{target("a", 1), target("b", 1)})
	noneIgnored(t, a)
	take(b, a)
	a.MarkUnstable(now)
	a.ApplyTargets(now, 2, []catalog.Change{{StoredObject: target("a", 2), Gone: true}})
	noneIgnored(t, a)
	take(b, a)
	if len(b.Targets()) != 2 {
		t.Fatal("a router does not keep an entry that has lapsed at the router that it copies from")
	}
	pair := []*catalog.Catalog{a, b}
	for revision := int64(3); revision < 30; revision++ {
		now = now.Add(100 * time.Millisecond)
		to, from := pair[revision%2], pair[1-revision%2]
		change := catalog.Change{StoredObject: target("b", revision)}
		from.ApplyTargets(now, revision, []catalog.Change{change})
		noneIgnored(t, from)
		take(to, from)
		to.ExpireLapsed(now)
		from.ExpireLapsed(now)
	}
	for _, c := range pair {
		if len(c.Targets()) != 1 {
			t.Fatalf("after %v: still %v", 2700*time.Millisecond, c.Targets())
		}
	}
}

// TestLapseUnderNewTrouble checks how long lapsed entries are used while a router repeatedly has
// trouble with the store after they disappeared.
func TestLapseUnderNewTrouble(t *testing.T) {
	cases := map[string]struct {
		left int // of four entries
		kept bool
	}{
		"one target left":             {left: 3, kept: false},
		"the store lost most entries": {left: 1, kept: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			k := catalog.New(codec{}, drainPeriod, entryTTL)
			var list []message.StoredObject
			for i := range 4 {
				list = append(list, message.StoredObject{Name: strconv.Itoa(i), Revision: 1, Value: []byte("x")})
			}
			k.SetTargets(now, 1, list)
			noneIgnored(t, k)
			k.MarkUnstable(now)
			k.SetTargets(now, 2, list[:c.left])
			noneIgnored(t, k)
			for range 20 {
				now = now.Add(100 * time.Millisecond)
				k.MarkUnstable(now)
				k.ExpireLapsed(now)
			}
			if got := len(k.Targets()) == 4; got != c.kept {
				t.Errorf("entries still used after two seconds: %t, want %t", got, c.kept)
			}
		})
	}
}

// TestRemovalBeforeFirstList checks that routers learn of the removal of an entry from a
// router that has started after it, although the first list of that router doesn't contain the
// removal.
func TestRemovalBeforeFirstList(t *testing.T) {
	now := time.Now()
	kept, gone := stored("kept", 1), stored("gone", 2)
	old, fresh := catalog.New(codec{}, drainPeriod, entryTTL), catalog.New(codec{}, drainPeriod, entryTTL)
	old.SetTargets(now, 2, []message.StoredObject{kept, gone})
	noneIgnored(t, old)
	// Revision 3 removed the entry.
	fresh.SetTargets(now, 3, []message.StoredObject{kept})
	noneIgnored(t, fresh)
	if fresh.TargetsChanged() <= old.TargetsRevision() {
		t.Fatalf("the newest change is %d, want a later one than the known %d", fresh.TargetsChanged(), old.TargetsRevision())
	}
	old.Merge(now, fresh.Copy(now, message.NeedCopy{Revisions: message.Revisions{Targets: old.TargetsRevision()}}))
	noneIgnored(t, old)
	if n := len(old.Targets()); n != 1 {
		t.Errorf("%d targets, want only the kept one", n)
	}
	// A router with the list of another router doesn't make others request it again.
	third := catalog.New(codec{}, drainPeriod, entryTTL)
	third.SetTargets(now, 4, []message.StoredObject{kept})
	noneIgnored(t, third)
	last := catalog.New(codec{}, drainPeriod, entryTTL)
	last.Merge(now, old.Copy(now, message.NeedCopy{}))
	noneIgnored(t, last)
	if last.TargetsChanged() > third.TargetsRevision() {
		t.Errorf("a copy counts as the newest change, %d", last.TargetsChanged())
	}
}

func stored(name string, revision int64) message.StoredObject {
	return message.StoredObject{Name: name, Revision: revision, Value: []byte("address")}
}

// TestLapseFollowsDrain checks how long lapsed entries are used for different drain periods of
// leaving targets.
func TestLapseFollowsDrain(t *testing.T) {
	cases := map[string]struct{ drain, lapse time.Duration }{
		"short":       {drain: time.Second, lapse: 800 * time.Millisecond},
		"usual":       {drain: 2 * time.Second, lapse: 1800 * time.Millisecond},
		"long":        {drain: 4 * time.Second, lapse: 2 * time.Second},
		"hardly any":  {drain: 100 * time.Millisecond, lapse: 0},
		"none at all": {drain: 0, lapse: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			k := catalog.New(codec{}, c.drain, entryTTL)
			k.SetTargets(now, 1, []message.StoredObject{stored("a", 1)})
			noneIgnored(t, k)
			k.MarkUnstable(now)
			k.SetTargets(now, 2, nil)
			noneIgnored(t, k)
			if c.lapse > 0 {
				if expired := k.ExpireLapsed(now.Add(c.lapse - time.Millisecond)); len(expired) > 0 {
					t.Errorf("dropped before %v", c.lapse)
				}
				k.ExpireLapsed(now.Add(c.lapse))
			}
			if n := len(k.Targets()); n > 0 {
				t.Errorf("still used after %v", c.lapse)
			}
		})
	}
}

// TestLapseEndsWhenEntriesAreBack checks that an entry that disappears late in the unstable
// period is used only until the end of this period.
func TestLapseEndsWhenEntriesAreBack(t *testing.T) {
	now := time.Now()
	c := catalog.New(codec{}, drainPeriod, entryTTL)
	c.SetTargets(now, 2, []message.StoredObject{stored("stays", 1), stored("goes", 2)})
	noneIgnored(t, c)
	c.MarkUnstable(now)
	c.ApplyTargets(now.Add(1700*time.Millisecond), 3, []catalog.Change{{StoredObject: stored("goes", 3), Gone: true}})
	noneIgnored(t, c)
	if n := len(c.Targets()); n != 2 {
		t.Fatalf("%d targets in use as an entry lapses, want 2", n)
	}
	if expired := c.ExpireLapsed(now.Add(1900 * time.Millisecond)); len(expired) != 1 {
		t.Errorf("dropped at the end of the unstable period: %v, want the one that disappeared", expired)
	}
}
