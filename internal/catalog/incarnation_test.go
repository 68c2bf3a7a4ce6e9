package catalog_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

func ExampleVersion_Newer() {
	before := catalog.Version{Born: 1000, Revision: 7}
	late := catalog.Version{Born: 1000, Revision: 9}
	after := catalog.Version{Born: 2000, Revision: 8}
	fmt.Println(late.Newer(before), after.Newer(late), late.Newer(after))
	// Output: true true false
}

// bornCodec decodes a target whose value is its start time.
type bornCodec struct{}

func (bornCodec) Table([]byte) (*routing.Table, error) { return routing.New(routing.Spec{Version: 1}) }

func (bornCodec) Target(name string, value []byte) (balance.Target, error) {
	born, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		return balance.Target{}, catalog.NewEntryError(catalog.FieldBytes, string(value))
	}
	return balance.Target{ID: name, Service: "s", Born: born}, nil
}

// entryOf returns an entry, as of a revision, of a target that started at the time born.
func entryOf(name string, revision int64, born string) message.StoredObject {
	return message.StoredObject{Name: name, Revision: revision, Value: []byte(born)}
}

// inUse returns the targets of a catalog as "name@born", separated by spaces.
func inUse(c *catalog.Catalog) string {
	var out []string
	for _, t := range c.Targets() {
		out = append(out, t.Incarnation())
	}
	return strings.Join(out, " ")
}

func TestIncarnations(t *testing.T) {
	for name, c := range map[string]struct {
		entries []string
		want    string
		ignored []string
	}{
		"a new incarnation":                           {entries: []string{"1", "2"}, want: "a@2"},
		"a late entry of an older incarnation":        {entries: []string{"2", "1"}, want: "a@2", ignored: []string{"born"}},
		"two incarnations at once":                    {entries: []string{"1", "3", "2", "3"}, want: "a@3", ignored: []string{"born"}},
		"an incarnation without a number":             {entries: []string{"0", "0"}, want: "a"},
		"a number where there was none":               {entries: []string{"0", "4"}, want: "a@4"},
		"an invalid entry":                            {entries: []string{"1", "?"}, want: "", ignored: []string{"bytes"}},
		"a valid entry after an invalid one":          {entries: []string{"1", "?", "1"}, want: "a@1", ignored: []string{"bytes"}},
		"an older incarnation after an invalid entry": {entries: []string{"2", "?", "1"}, want: "", ignored: []string{"bytes", "born"}},
		"a new incarnation after an invalid entry":    {entries: []string{"2", "?", "3"}, want: "a@3", ignored: []string{"bytes"}},
		"only invalid entries":                        {entries: []string{"?", "!"}, want: "", ignored: []string{"bytes", "bytes"}},
	} {
		for way, put := range map[string]func(k *catalog.Catalog, revision int64, e message.StoredObject){
			"as changes": func(k *catalog.Catalog, revision int64, e message.StoredObject) {
				k.ApplyTargets(time.Time{}, revision, []catalog.Change{{StoredObject: e}})
			},
			"as lists": func(k *catalog.Catalog, revision int64, e message.StoredObject) {
				k.SetTargets(time.Time{}, revision, []message.StoredObject{e, entryOf("b", 1, "7")})
			},
			"from another router": func(k *catalog.Catalog, revision int64, e message.StoredObject) {
				k.Merge(time.Time{}, message.Copy{Targets: message.StoredObjects{Revision: revision, Since: revision - 1, List: []message.StoredObject{e}}})
			},
		} {
			t.Run(name+" "+way, func(t *testing.T) {
				k := catalog.New(bornCodec{}, drainPeriod, entryTTL)
				k.SetTargets(time.Time{}, 1, []message.StoredObject{entryOf("b", 1, "7")})
				for i, born := range c.entries {
					put(k, int64(i+2), entryOf("a", int64(i+2), born))
				}
				if got, want := inUse(k), strings.TrimSpace(c.want+" b@7"); got != want {
					t.Errorf("%q, want %q", got, want)
				}
				var fields []string
				list, _ := k.Ignored()
				for _, e := range list {
					fields = append(fields, e.Field)
				}
				if !slices.Equal(fields, c.ignored) {
					t.Errorf("ignored %v, want %v", fields, c.ignored)
				}
			})
		}
	}
}

func TestInvalidEntryIsReportedOnce(t *testing.T) {
	k := catalog.New(bornCodec{}, drainPeriod, entryTTL)
	bad := entryOf("a", 1, "?")
	for revision := range int64(5) {
		k.SetTargets(time.Time{}, revision+1, []message.StoredObject{bad})
	}
	if list, by := k.Ignored(); len(list) != 1 || by["bytes"] != 1 {
		t.Errorf("ignored %v, %v by field", list, by)
	}
}

func TestInvalidEntryDoesNotLapse(t *testing.T) {
	k := catalog.New(bornCodec{}, drainPeriod, entryTTL)
	now := time.Unix(1000, 0)
	k.SetTargets(now, 1, []message.StoredObject{entryOf("a", 1, "1"), entryOf("b", 1, "1")})
	k.ApplyTargets(now, 2, []catalog.Change{{StoredObject: entryOf("a", 2, "?")}})
	k.MarkUnstable(now)
	k.SetTargets(now, 3, nil)
	if got := inUse(k); got != "b@1" {
		t.Errorf("%q, want only the valid entry to lapse", got)
	}
}

// newestOf returns the newest incarnation of a target in events.
func newestOf(events []catalog.Change, name string) int64 {
	newest := int64(0)
	for _, e := range events {
		born, err := strconv.ParseInt(string(e.Value), 10, 64)
		if e.Name == name && err == nil {
			newest = max(newest, born)
		}
	}
	return newest
}

// TestIncarnationsAgree checks that no router goes back to an older incarnation of a target.
// Targets restart, entries become unusable and are written late by processes that have ended,
// and the routers receive all this from the store and from each other in any order.
func TestIncarnationsAgree(t *testing.T) {
	const routers = 3
	names := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var events []catalog.Change
		known := make([]*catalog.Catalog, routers)
		newest := make([]map[string]int64, routers)
		for i := range known {
			known[i] = catalog.New(bornCodec{}, drainPeriod, entryTTL)
			newest[i] = map[string]int64{}
		}
		objectsAt := func(revision int64) map[string]catalog.Change {
			out := map[string]catalog.Change{}
			for _, e := range events[:revision] {
				out[e.Name] = e
			}
			return out
		}
		router := rapid.IntRange(0, routers-1)
		lastChecked := make([]int64, routers)
		check := func(i int) {
			// After the removal of an entry any incarnation may follow.
			for _, e := range events[min(lastChecked[i], known[i].TargetsRevision()):known[i].TargetsRevision()] {
				if e.Gone {
					delete(newest[i], e.Name)
				}
			}
			lastChecked[i] = known[i].TargetsRevision()
			current := map[string]int64{}
			for _, target := range known[i].Targets() {
				if last := newest[i][target.ID]; target.Born < last {
					t.Fatalf("router %d uses incarnation %d of %s after incarnation %d", i, target.Born, target.ID, last)
				}
				current[target.ID] = target.Born
			}
			for name, e := range objectsAt(known[i].TargetsRevision()) {
				born, used := current[name]
				bad := e.Gone || string(e.Value) == "?"
				if bad && used {
					t.Fatalf("router %d uses %s@%d, whose entry is gone or invalid as of %d", i, name, born, e.Revision)
				}
				if bad {
					continue
				}
				entryBorn, _ := strconv.ParseInt(string(e.Value), 10, 64)
				// The store may hold only a late write of an older incarnation, and a router may
				// have missed that the entry was removed in between.
				if !used && entryBorn >= newestOf(events[:known[i].TargetsRevision()], name) {
					t.Fatalf("router %d does not use %s@%d", i, name, entryBorn)
				}
				if used && born < entryBorn {
					t.Fatalf("router %d uses %s@%d though %d is known", i, name, born, entryBorn)
				}
			}
			for name, born := range current {
				newest[i][name] = max(newest[i][name], born)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				e := entryOf(rapid.SampledFrom(names).Draw(t, "name"), int64(len(events)+1),
					rapid.SampledFrom([]string{"1", "2", "3", "4", "?"}).Draw(t, "entry"))
				events = append(events, catalog.Change{StoredObject: e, Gone: rapid.IntRange(0, 5).Draw(t, "gone") == 0})
			},
			"watch": func(t *rapid.T) {
				i := router.Draw(t, "router")
				from := known[i].TargetsRevision()
				if from == int64(len(events)) {
					return
				}
				to := rapid.Int64Range(from+1, int64(len(events))).Draw(t, "to")
				known[i].ApplyTargets(now, to, slices.Clone(events[from:to]))
				for _, e := range events[from:to] {
					born, err := strconv.ParseInt(string(e.Value), 10, 64)
					switch {
					case e.Gone:
						delete(newest[i], e.Name)
					case err == nil:
						newest[i][e.Name] = max(newest[i][e.Name], born)
					}
				}
				lastChecked[i] = to
			},
			"list": func(t *rapid.T) {
				i := router.Draw(t, "router")
				revision := rapid.Int64Range(0, int64(len(events))).Draw(t, "revision")
				var list []message.StoredObject
				for _, e := range objectsAt(revision) {
					if !e.Gone {
						list = append(list, e.StoredObject)
					}
				}
				known[i].SetTargets(now, revision, list)
			},
			"copy": func(t *rapid.T) {
				from, to := known[router.Draw(t, "from")], known[router.Draw(t, "to")]
				to.Merge(now, from.Copy(now, message.NeedCopy{
					Revisions: message.Revisions{Targets: to.TargetsRevision()}, DropsUnlisted: rapid.Bool().Draw(t, "drops"),
				}))
			},
			"": func(*rapid.T) {
				for i := range known {
					check(i)
				}
			},
		})
	})
}

// Guards against a fault in which a router that knew a later incarnation ignored a late write
// of an older one, and also left it out of copies for other routers. Such a router then kept
// using an even older incarnation: "router 1 uses b@1 though 2 is known".
func TestLateWriteIsForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	knows, behind := catalog.New(bornCodec{}, drainPeriod, entryTTL), catalog.New(bornCodec{}, drainPeriod, entryTTL)
	knows.ApplyTargets(now, 1, []catalog.Change{{StoredObject: entryOf("b", 1, "3")}})
	behind.ApplyTargets(now, 3, []catalog.Change{{StoredObject: entryOf("b", 3, "1")}})
	knows.ApplyTargets(now, 4, []catalog.Change{{StoredObject: entryOf("b", 4, "2")}})
	behind.Merge(now, knows.Copy(now, message.NeedCopy{Revisions: message.Revisions{Targets: behind.TargetsRevision()}}))
	if got := inUse(knows) + " " + inUse(behind); got != "b@3 b@2" {
		t.Errorf("%q, want each to keep the newest incarnation that it knows", got)
	}
}

// Guards against a fault in which a late write of an earlier process passed for a new
// incarnation after the entry had been removed and an unusable one had followed, since the
// unusable one was remembered without a start time.
func TestOlderIncarnationsAfterRemoval(t *testing.T) {
	k := catalog.New(bornCodec{}, drainPeriod, entryTTL)
	k.SetTargets(time.Time{}, 1, []message.StoredObject{entryOf("a", 1, "3")})
	k.SetTargets(time.Time{}, 2, nil)
	for i, born := range []string{"2", "?", "1"} {
		revision := int64(3 + i)
		k.ApplyTargets(time.Time{}, revision, []catalog.Change{{StoredObject: entryOf("a", revision, born)}})
	}
	if got := inUse(k); got != "" {
		t.Errorf("%q is used", got)
	}
}
