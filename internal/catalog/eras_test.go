package catalog_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
)

// eraStore is a simple model of a store that comes back from older copies: it keeps the history of each era.
type eraStore struct {
	// eras has the changes of each era, the first one of which has revision 1. An era begins with those of the copy.
	eras [][]catalog.Change
	// writes counts all changes, so that each has a value of its own.
	writes int
}

func (s *eraStore) era() int { return len(s.eras) - 1 }

func (s *eraStore) newest() int { return len(s.eras[s.era()]) }

// at returns the combined revision for one of an era.
func at(era, store int) int64 {
	n, err := revision.New(int64(era), int64(store))
	if err != nil {
		panic(err)
	}
	return n
}

func (s *eraStore) change(name string, gone bool) {
	s.writes++
	e := catalog.Change{StoredObject: message.StoredObject{Name: name, Value: []byte(strconv.Itoa(s.writes))}, Gone: gone}
	e.Revision = int64(s.newest() + 1)
	s.eras[s.era()] = append(s.eras[s.era()], e)
}

// objects returns the objects as of a revision of an era, by name.
func (s *eraStore) objects(era, store int) map[string]message.StoredObject {
	out := map[string]message.StoredObject{}
	for _, e := range s.events(era, 0, store) {
		if e.Gone {
			delete(out, e.Name)
			continue
		}
		out[e.Name] = e.StoredObject
	}
	return out
}

// events returns the changes of an era after one revision and up to another, with combined revisions.
func (s *eraStore) events(era, after, upTo int) []catalog.Change {
	out := slices.Clone(s.eras[era][after:upTo])
	for i := range out {
		out[i].Revision = at(era, int(out[i].Revision))
	}
	return out
}

// storeAnswer is an answer of the store on its way to a router.
type storeAnswer struct {
	isList  bool
	at      int64
	list    []message.StoredObject
	changes []catalog.Change
	config  string
	// after is the name at which the next page of a list begins; era is that of its first page.
	after string
	era   int
}

// eraRouter is a router that reads the store with one call at a time, and gets copies from others.
type eraRouter struct {
	*catalog.Catalog
	// from is the revision to watch from, 0 if the router must list first.
	from   int64
	answer *storeAnswer
	// highest are the revision and version seen so far.
	highest message.Revisions
}

// eraCopy is another router's copy on its way to a router.
type eraCopy struct {
	to *eraRouter
	message.Copy
}

const pageSize = 2

// read sends the router's next call, which the store answers at once; the answer arrives later. A list comes in
// pages, between which the store changes.
func (r *eraRouter) read(s *eraStore, config string, whole bool) {
	switch {
	case r.answer == nil && (r.from == 0 || revision.Era(r.from) < int64(s.era())):
		r.answer = &storeAnswer{isList: true, at: at(s.era(), s.newest()), era: s.era(), config: config}
	case r.answer == nil:
		events := s.events(s.era(), int(revision.Store(r.from)), s.newest())
		r.answer = &storeAnswer{at: at(s.era(), s.newest()), changes: events, config: config}
		return
	}
	a := r.answer
	if !a.isList || a.after == "~" {
		return
	}
	if a.era != s.era() {
		// Pages of different eras do not fit together.
		r.answer = nil
		return
	}
	objects := s.objects(s.era(), s.newest())
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(objects)), func(name string) bool { return name <= a.after })
	a.after = "~"
	if !whole && len(names) > pageSize {
		names = names[:pageSize]
		a.after = names[pageSize-1]
	}
	for _, name := range names {
		a.list = append(a.list, objects[name])
	}
}

// receive delivers the answer to the router's call, if it is complete.
func (r *eraRouter) receive(t *rapid.T, now time.Time) {
	a := r.answer
	if a == nil || a.isList && a.after != "~" {
		return
	}
	r.answer = nil
	if a.isList {
		r.SetTargets(now, a.at, a.list)
	} else {
		r.ApplyTargets(now, a.at, a.changes)
	}
	r.from = max(r.from, a.at)
	if _, err := r.SetConfig(a.at, []byte(a.config)); err != nil {
		t.Fatal(err)
	}
}

// check fails if the router went back, or has a target in a state that it never had since the revision as of which
// the router's list is complete, in its era or a later one.
func (r *eraRouter) check(t *rapid.T, s *eraStore) {
	now := r.Complete()
	if now.Targets < r.highest.Targets || now.Version < r.highest.Version {
		t.Fatalf("went back from %+v to %+v", r.highest, now)
	}
	r.highest = now
	if now.Targets == 0 {
		return
	}
	first, from := int(revision.Era(now.Targets)), int(revision.Store(now.Targets))
	used := map[string]string{}
	for _, target := range r.Targets() {
		used[target.ID] = target.Address
	}
	start := from
	for _, name := range eraNames {
		from = start
		possible := []string{}
		for era := first; era <= s.era(); era++ {
			for upTo := from; upTo <= len(s.eras[era]); upTo++ {
				possible = append(possible, string(s.objects(era, upTo)[name].Value))
			}
			from = 1
		}
		if !slices.Contains(possible, used[name]) {
			t.Fatalf("%s is %q as of era %d, revision %d; it was %q since", name, used[name], first, start, possible)
		}
	}
}

var eraNames = []string{"a", "b", "c", "d", "e"}

// TestCopiesOverEras lets three routers read a store that comes back from copies, in pages between which it
// changes, and copy from one another, with copies that arrive late, twice and in any order.
func TestCopiesOverEras(t *testing.T) {
	invariant.Strict()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := &eraStore{eras: [][]catalog.Change{nil}}
		s.change(eraNames[0], false)
		version := 1
		// stored is the version that the store holds.
		stored := 1
		routers := make([]*eraRouter, 3)
		for i := range routers {
			routers[i] = &eraRouter{Catalog: catalog.New(codec{}, drainPeriod, entryTTL)}
		}
		var copies []eraCopy
		which := func(label string) *eraRouter { return routers[rapid.IntRange(0, len(routers)-1).Draw(t, label)] }
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				name := rapid.SampledFrom(eraNames).Draw(t, "name")
				_, there := s.objects(s.era(), s.newest())[name]
				s.change(name, there && rapid.Bool().Draw(t, "gone"))
			},
			"configure": func(*rapid.T) { version++; stored = version },
			"come back older": func(t *rapid.T) {
				upTo := rapid.IntRange(1, s.newest()).Draw(t, "copy")
				s.eras = append(s.eras, slices.Clone(s.eras[s.era()][:upTo]))
				stored = rapid.IntRange(1, version).Draw(t, "version")
			},
			"read":    func(*rapid.T) { which("router").read(s, fmt.Sprint(stored), false) },
			"receive": func(t *rapid.T) { which("router").receive(t, now) },
			"send copy": func(t *rapid.T) {
				from, to := which("from"), which("to")
				copies = append(copies, eraCopy{to, from.Copy(now, message.NeedCopy{Revisions: to.Complete(), DropsUnlisted: rapid.Bool().Draw(t, "drops")})})
			},
			"receive copy": func(t *rapid.T) {
				if len(copies) == 0 {
					return
				}
				i := rapid.IntRange(0, len(copies)-1).Draw(t, "which")
				c := copies[i]
				if rapid.Bool().Draw(t, "once") {
					copies = slices.Delete(copies, i, i+1)
				}
				c.to.Merge(now, c.Copy)
				if len(c.Config) > 0 {
					if _, err := c.to.SetConfig(c.ConfigRevision, c.Config); err != nil {
						t.Fatal(err)
					}
				}
			},
			"start again": func(*rapid.T) {
				r := which("router")
				*r = eraRouter{Catalog: catalog.New(codec{}, drainPeriod, entryTTL)}
				copies = slices.DeleteFunc(copies, func(c eraCopy) bool { return c.to == r })
			},
			"": func(t *rapid.T) {
				for _, r := range routers {
					r.check(t, s)
				}
			},
		})
		for _, r := range routers {
			r.answer = nil
			r.read(s, fmt.Sprint(version), true)
			r.receive(t, now)
			want := s.objects(s.era(), s.newest())
			got := r.Targets()
			if len(got) != len(want) {
				t.Fatalf("has %v in the end, want %v", got, want)
			}
			for _, target := range got {
				if string(want[target.ID].Value) != target.Address {
					t.Fatalf("has %v in the end, want %v", got, want)
				}
			}
			if r.Table().Version() != int64(version) {
				t.Fatalf("has version %d in the end, want %d", r.Table().Version(), version)
			}
		}
	})
}
