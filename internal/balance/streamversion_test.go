package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

func versioned(id, version string) balance.Target {
	return balance.Target{ID: id, Service: "llm", Address: "a:1", Zone: "z", Slots: 8, Version: version}
}

func TestOnlyVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	const long = 2 * streamversion.TTL
	type step struct {
		after time.Duration
		list  []balance.Target
	}
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	for name, c := range map[string]struct {
		steps []step
		want  string
	}{
		"no targets":                {},
		"one version":               {steps: []step{{list: []balance.Target{v1, versioned("c", "v1")}}}, want: "v1"},
		"no version named":          {steps: []step{{list: []balance.Target{versioned("c", "")}}}, want: "(none)"},
		"two versions":              {steps: []step{{list: []balance.Target{v1, v2}}}},
		"another a moment ago":      {steps: []step{{list: []balance.Target{v1, v2}}, {time.Second, []balance.Target{v1}}}},
		"another long ago":          {steps: []step{{list: []balance.Target{v1, v2}}, {time.Second, []balance.Target{v1}}, {long, []balance.Target{v1}}}, want: "v1"},
		"all gone and back":         {steps: []step{{list: []balance.Target{v1}}, {time.Second, nil}, {time.Second, []balance.Target{v1}}}, want: "v1"},
		"all replaced by another":   {steps: []step{{list: []balance.Target{v1}}, {time.Second, nil}, {time.Second, []balance.Target{v2}}}},
		"an entry changes":          {steps: []step{{list: []balance.Target{v1}}, {time.Second, []balance.Target{versioned("a", "v2")}}}},
		"an entry stays as it is":   {steps: []step{{list: []balance.Target{v1}}, {time.Second, []balance.Target{v1}}}, want: "v1"},
		"a process restarts anew":   {steps: []step{{list: []balance.Target{v1}}, {time.Second, []balance.Target{{ID: "a", Service: "llm", Version: "v2", Born: 5}}}}},
		"a process restarts as was": {steps: []step{{list: []balance.Target{v1}}, {time.Second, []balance.Target{{ID: "a", Service: "llm", Version: "v1", Born: 5}}}}, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := balance.New(start, "z", balance.Limits{}, nil)
			now := start
			for _, step := range c.steps {
				now = now.Add(step.after)
				s.SetTargets(now, step.list)
			}
			got, only := s.OnlyVersion(now, "llm")
			if want := c.want; only != (want != "") || only && got != want && want != "(none)" {
				t.Errorf("got %q, %v; want %q", got, only, want)
			}
		})
	}
}

// TestUnrecordedVersion guards against taking the version that is left for the only one that a service had,
// just after all routers have started again.
func TestUnrecordedVersion(t *testing.T) {
	start := time.Unix(1000, 0)
	served := func(version string, gone bool, ago time.Duration) streamversion.Served {
		return streamversion.Served{ServiceVersion: streamversion.ServiceVersion{Service: "llm", Version: version}, Gone: gone, GoneFor: ago}
	}
	v1, v2 := versioned("a", "v1"), versioned("b", "v2")
	const long = 2 * streamversion.TTL
	for name, c := range map[string]struct {
		// stored is nil if nothing could be read.
		stored []streamversion.Served
		// incomplete is set if the store may have lost some.
		incomplete bool
		listed     []balance.Target
		after      time.Duration
		later      []balance.Target
		want       string
	}{
		"not known yet":                    {listed: []balance.Target{v1}},
		"not known for long":               {listed: []balance.Target{v1}, after: long, later: []balance.Target{v1}, want: "v1"},
		"nothing was stored":               {stored: []streamversion.Served{}, listed: []balance.Target{v1}, want: "v1"},
		"the same version":                 {stored: []streamversion.Served{served("v1", false, 0)}, listed: []balance.Target{v1}, want: "v1"},
		"another version left before":      {stored: []streamversion.Served{served("v1", true, time.Second), served("v2", false, 0)}, listed: []balance.Target{v2}},
		"another version left long ago":    {stored: []streamversion.Served{served("v1", true, long), served("v2", false, 0)}, listed: []balance.Target{v2}, want: "v2"},
		"replaced while no router ran":     {stored: []streamversion.Served{served("v1", false, 0)}, listed: []balance.Target{v2}, want: "v1"},
		"another came while no router ran": {stored: []streamversion.Served{served("v1", false, 0)}, listed: []balance.Target{v1, v2}, want: "v1"},
		"another came afterwards":          {stored: []streamversion.Served{served("v1", false, 0)}, listed: []balance.Target{v1}, after: time.Second, later: []balance.Target{v1, v2}},
		"two versions stay":                {stored: []streamversion.Served{served("v1", false, 0), served("v2", false, 0)}, listed: []balance.Target{v1, v2}},
		"the store lost some":              {stored: []streamversion.Served{served("v1", false, 0)}, incomplete: true, listed: []balance.Target{v1, v2}},
		"the store lost some, one is left": {stored: []streamversion.Served{served("v1", false, 0)}, incomplete: true, listed: []balance.Target{v1}},
		"of another service":               {stored: []streamversion.Served{{ServiceVersion: streamversion.ServiceVersion{Service: "other", Version: "v9"}}}, listed: []balance.Target{v1}, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			s := balance.New(start, "z", balance.Limits{}, nil)
			if c.stored != nil {
				s.RestoreVersions(start, c.stored, !c.incomplete)
			}
			now := start
			s.SetTargets(now, c.listed)
			if c.later != nil {
				now = now.Add(c.after)
				s.SetTargets(now, c.later)
			}
			got, evidence := s.UnrecordedVersion(now, "llm")
			known := evidence != ""
			if known != (c.want != "") || known && got != c.want {
				t.Errorf("got %q, %v; want %q", got, known, c.want)
			}
		})
	}
}

// TestUnrecordedVersionWhereStoredOneWasClosed guards against taking a stream for one of the version that was stored
// although its targets may have taken no requests after another one came, which the store refused to hold.
func TestUnrecordedVersionWhereStoredOneWasClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(target balance.Target, revision int64) balance.Target {
		target.Revision = revision
		return target
	}
	v1, other1, v2, other2 := versioned("a", "v1"), versioned("c", "v1"), versioned("b", "v2"), versioned("d", "v2")
	leaving, drained := at(v1, 3), at(v1, 3)
	leaving.Leaving, drained.Drained = true, true
	for name, c := range map[string]struct {
		listed []balance.Target
		want   string
	}{
		"open since before the other came":  {listed: []balance.Target{at(v1, 3), at(v2, 5)}, want: "v1"},
		"one of its targets is":             {listed: []balance.Target{at(v1, 3), at(other1, 9), at(v2, 5)}, want: "v1"},
		"its entry changed since":           {listed: []balance.Target{at(v1, 9), at(v2, 5)}},
		"its entry changed before one came": {listed: []balance.Target{at(v1, 9), at(v2, 5), at(other2, 12)}},
		"it leaves":                         {listed: []balance.Target{leaving, at(other1, 9), at(v2, 5)}},
		"its zone is drained":               {listed: []balance.Target{drained, at(other1, 9), at(v2, 5)}},
		"it has left":                       {listed: []balance.Target{at(v2, 5)}},
		"no targets are listed yet":         {},
	} {
		t.Run(name, func(t *testing.T) {
			s := balance.New(now, "z", balance.Limits{}, nil)
			s.RestoreVersions(now, []streamversion.Served{{ServiceVersion: streamversion.ServiceVersion{Service: "llm", Version: "v1"}}}, true)
			s.SetTargets(now, c.listed)
			if got, _ := s.UnrecordedVersion(now, "llm"); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestStreamsOfServiceThatLeft guards against refusing the rest of streams whose route has moved to a service of the same
// version, since the targets of the one before have left.
func TestStreamsOfServiceThatLeft(t *testing.T) {
	of := func(service, version string) balance.Target {
		target := versioned(service+version, version)
		target.Service = service
		return target
	}
	y := of("y", "v1")
	for name, c := range map[string]struct {
		before, left []balance.Target
		after        time.Duration
		want         string
	}{
		"of the same version":            {before: []balance.Target{of("x", "v1"), y}, left: []balance.Target{y}, want: "v1"},
		"of another version":             {before: []balance.Target{of("x", "v2"), y}, left: []balance.Target{y}},
		"of two versions":                {before: []balance.Target{of("x", "v1"), of("x", "v2"), y}, left: []balance.Target{y}},
		"there never was one":            {before: []balance.Target{y}, left: []balance.Target{y}},
		"it left long ago":               {before: []balance.Target{of("x", "v2"), y}, left: []balance.Target{y}, after: 2 * streamversion.TTL, want: "v1"},
		"that of the moment left itself": {before: []balance.Target{of("x", "v1"), y}, left: []balance.Target{of("x", "v1")}, want: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := balance.New(now, "z", balance.Limits{}, nil)
			s.RestoreVersions(now, nil, true)
			s.SetTargets(now, c.before)
			now = now.Add(time.Second)
			s.SetTargets(now, c.left)
			got, evidence := s.UnrecordedVersionAmong(now.Add(c.after), []string{"y", "x"}, routing.Regions{})
			if got != c.want || (evidence != "") != (c.want != "") {
				t.Errorf("got %q by %q, want %q", got, evidence, c.want)
			}
		})
	}
}

// TestRecordsWhereNoRouteMoves guards against messages about streams whose version nobody can mistake: routers would send
// some for each stream.
func TestRecordsWhereNoRouteMoves(t *testing.T) {
	start := time.Unix(1000, 0)
	tableTo := func(paths map[string]string) *routing.Table {
		var spec routing.Spec
		for path, service := range paths {
			spec.Routes = append(spec.Routes, routing.Route{Name: path, Host: "h", Prefix: path, Kind: routing.Streaming, Resumable: true, Shares: []routing.Share{{Service: service, Weight: 1}}})
		}
		table, err := routing.New(spec)
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	before := tableTo(map[string]string{"/a/": "x", "/b/": "x"})
	for name, c := range map[string]struct {
		// unknown is set if what was stored does not tell the routes.
		unknown bool
		later   *routing.Table
		after   time.Duration
		shared  int
	}{
		"none":                              {},
		"another route moves":               {later: tableTo(map[string]string{"/a/": "x", "/b/": "y"})},
		"it moves, same version":            {later: tableTo(map[string]string{"/a/": "z", "/b/": "x"})},
		"it moves":                          {later: tableTo(map[string]string{"/a/": "y", "/b/": "x"}), shared: 10},
		"it moved long ago":                 {later: tableTo(map[string]string{"/a/": "y", "/b/": "x"}), after: 2 * streamversion.TTL},
		"routes are not known":              {unknown: true, shared: 10},
		"routes were not known a while ago": {unknown: true, after: 2 * streamversion.TTL},
	} {
		t.Run(name, func(t *testing.T) {
			now, shared := start, 0
			s := balance.New(now, "z", balance.Limits{RetryWindow: time.Second, QuotaWindow: time.Second}, rand.New(rand.NewPCG(1, 1)))
			h := routehistory.New(now, streamversion.TTL)
			s.SetRouteHistory(h)
			s.OnStreamBegun(func(_ time.Time, _ balance.Stream, share bool) {
				if share {
					shared++
				}
			})
			s.RestoreVersions(now, nil, true)
			var targets []balance.Target
			for service, version := range map[string]string{"x": "v1", "y": "v2", "z": "v1"} {
				target := versioned(service, version)
				target.Service, target.Slots = service, 100
				targets = append(targets, target)
			}
			s.SetTargets(now, targets)
			if !c.unknown {
				h.Restore(now, nil, nil)
			}
			table := before
			h.Set(now, table)
			if c.later != nil {
				now, table = now.Add(time.Second), c.later
				h.Set(now, table)
			}
			now = now.Add(c.after)
			for i := range 10 {
				id := fmt.Sprint("s", i)
				r, _ := table.Lookup("h", "/a/b")
				k := &balance.Ticket{
					ID: id, Service: r.Service(id), Organisation: "o", Host: "h", Path: "/a/b", Stream: true, StreamID: id,
					Goal: time.Second, Arrived: now, Deadline: now.Add(time.Second), Decision: make(chan balance.Decision, 1),
				}
				s.Arrive(now, k)
				s.Started(now, k)
			}
			if shared != c.shared {
				t.Errorf("%d of 10 streams were told to other routers, want %d", shared, c.shared)
			}
		})
	}
}
