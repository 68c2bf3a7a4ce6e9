package streamversion_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/rendezvous"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// fleet is a network of routers in virtual time.
type fleet struct {
	now     time.Time
	routers map[string]*streamversion.Directory
	// known lists the routers that all believe to run, down those that get no messages.
	known []string
	down  map[string]bool
	// messages counts the messages sent.
	messages int
}

// view is the fleet as one router sees it.
type view struct {
	*fleet
	self string
}

func (v view) Ranked(_ time.Time, key string, n int) []string {
	list := slices.Clone(v.known)
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(rendezvous.Weight(key, b), rendezvous.Weight(key, a)) })
	list = list[:min(n, len(list))]
	return slices.DeleteFunc(list, func(id string) bool { return id == v.self })
}

func (v view) First(_ time.Time, key string) bool {
	first := slices.MaxFunc(v.known, func(a, b string) int { return cmp.Compare(rendezvous.Weight(key, a), rendezvous.Weight(key, b)) })
	return first == v.self
}

func (v view) Size(time.Time) int { return len(v.known) }

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), routers: map[string]*streamversion.Directory{}, down: map[string]bool{}}
	for i := range n {
		id := fmt.Sprint("router-", i)
		f.known = append(f.known, id)
		f.start(id)
	}
	return f
}

// start starts a router that knows that nothing was stored before.
func (f *fleet) start(id string) {
	f.routers[id] = streamversion.New(f.now, view{f, id})
	f.routers[id].Restore(f.now, nil, true)
}

// run delivers messages for a time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		for from, d := range f.routers {
			if f.down[from] {
				continue
			}
			d.Tick(f.now)
			for _, o := range d.Take() {
				f.messages++
				if !f.down[o.To] {
					f.routers[o.To].Receive(f.now, from, o.Message)
				}
			}
		}
	}
}

// lookup returns what a router answers within a second.
func (f *fleet) lookup(router, request string) (streamversion.Answer, bool) {
	var got streamversion.Answer
	answered := false
	f.routers[router].Lookup(f.now, streamversion.KeyOf(request), func(a streamversion.Answer) { got, answered = a, true })
	f.run(time.Second)
	return got, answered
}

func (f *fleet) begin(router, request, version string) {
	f.routers[router].Begin(f.now, streamversion.Record{Key: streamversion.KeyOf(request), Version: version}, true)
}

func TestLookup(t *testing.T) {
	for name, c := range map[string]struct {
		routers int
		// prepare changes the fleet after router-0 has begun the stream "begun", and the router
		// that is asked is the last one.
		prepare func(f *fleet)
		request string
		want    streamversion.Answer
	}{
		"the router that began it runs": {routers: 20, request: "begun", want: streamversion.Answer{Version: "v1", Known: true, Evidence: streamversion.EvidenceRecord}},
		"the router that began it was killed": {
			routers: 20, request: "begun", want: streamversion.Answer{Version: "v1", Known: true, Evidence: streamversion.EvidenceRecord},
			prepare: func(f *fleet) { f.down["router-0"] = true },
		},
		"a router joined": {
			routers: 20, request: "begun", want: streamversion.Answer{Version: "v1", Known: true, Evidence: streamversion.EvidenceRecord},
			prepare: func(f *fleet) {
				f.known = append(f.known, "new")
				f.start("new")
			},
		},
		"nobody began it": {routers: 20, request: "other", want: streamversion.Answer{Confirmed: true}},
		"all others are cut off": {
			routers: 20, request: "begun", want: streamversion.Answer{},
			prepare: func(f *fleet) {
				// The router that is asked may be one of those that keep the record.
				f.start("router-19")
				for _, id := range f.known[:19] {
					f.down[id] = true
				}
			},
		},
		"the only router": {routers: 1, request: "other", want: streamversion.Answer{Confirmed: true}},
		"too old": {
			routers: 20, request: "begun", want: streamversion.Answer{Confirmed: true},
			prepare: func(f *fleet) {
				for range 3 {
					f.now = f.now.Add(streamversion.TTL)
					for i := range 200 {
						f.begin(fmt.Sprint("router-", i%20), fmt.Sprint(f.now, i), "v2")
					}
					f.run(time.Second)
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.routers)
			asked := f.known[len(f.known)-1]
			f.begin("router-0", "begun", "v1")
			f.run(100 * time.Millisecond)
			if c.prepare != nil {
				c.prepare(f)
			}
			if got, answered := f.lookup(asked, c.request); !answered || got != c.want {
				t.Errorf("got %+v, answered %v, want %+v", got, answered, c.want)
			}
		})
	}
}

// TestLookupAfterManyKills shows for how many streams the version is known if over half of the routers
// are killed at once and start again.
func TestLookupAfterManyKills(t *testing.T) {
	f := newFleet(8)
	const streams = 400
	for i := range streams {
		f.begin(fmt.Sprint("router-", i%8), fmt.Sprint(i), "v1")
	}
	f.run(100 * time.Millisecond)
	for i := range 4 {
		id := fmt.Sprint("router-", i)
		f.start(id)
	}
	known := 0
	for i := range streams {
		if a, _ := f.lookup(fmt.Sprint("router-", i%8), fmt.Sprint(i)); a.Known {
			known++
		}
	}
	if known < streams*9/10 {
		t.Errorf("%d of %d known after half of the routers were killed", known, streams)
	}
}

// TestRecordsOfKilledRouter guards against streams that nobody knows as their router was killed before
// its next tick.
func TestRecordsOfKilledRouter(t *testing.T) {
	for name, c := range map[string]struct{ streams, wantSent int }{
		"a few streams": {streams: 12, wantSent: 12},
		// The rest waits for the tick.
		"many streams": {streams: 200, wantSent: 16},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8)
			killed := f.routers["router-0"]
			sent := 0
			for i := range c.streams {
				f.begin("router-0", fmt.Sprint(i), "v1")
				list := killed.TakePrompt()
				for _, o := range list {
					f.routers[o.To].Receive(f.now, "router-0", o.Message)
				}
				if len(list) > 0 {
					sent++
				}
			}
			if sent != c.wantSent {
				t.Errorf("records were sent %d times before the tick, want %d", sent, c.wantSent)
			}
			f.down["router-0"] = true
			for i := range c.wantSent {
				if a, _ := f.lookup("router-7", fmt.Sprint(i)); a.Version != "v1" {
					t.Errorf("stream %d: %+v", i, a)
				}
			}
			killed.Tick(f.now)
			if waited := len(killed.TakePrompt()) > 0; waited != (c.streams > c.wantSent) {
				t.Errorf("records waited for the tick: %v", waited)
			}
		})
	}
}

// TestShareAt630 shows what each of 630 routers sends and receives while each begins 33 streams a
// second.
func TestShareAt630(t *testing.T) {
	const routers, perSecond = 630, 33
	f := newFleet(routers)
	// Ranking costs more here than in a router, so that only 20 of them begin streams.
	const begin = 20
	for i := range perSecond {
		for r := range begin {
			f.begin(fmt.Sprint("router-", r), fmt.Sprint(r, " ", i), "v1")
		}
	}
	f.run(50 * time.Millisecond)
	if each := float64(f.messages) / begin; each > 3*perSecond {
		t.Errorf("%.0f messages a second from each router, at most %d", each, 3*perSecond)
	}
}

// stored is what a fleet has in the store.
type stored map[[2]int][]streamversion.Record

// store writes what routers have to store.
func (s stored) store(f *fleet) {
	for id, d := range f.routers {
		if f.down[id] {
			continue
		}
		for _, snapshot := range d.TakeSnapshots(f.now) {
			s[[2]int{snapshot.Shard, snapshot.Slot}] = snapshot.Records
		}
	}
}

func (s stored) records() (list []streamversion.Record) {
	for _, records := range s {
		list = append(list, records...)
	}
	return list
}

// Guards against streams of which nobody knows the version after all routers were killed, and against
// records that are overwritten when another router stores them.
func TestRecordsOutliveAllRouters(t *testing.T) {
	const streams = 300
	for name, c := range map[string]struct {
		routers int
		killed  []string
	}{
		"a small fleet":                        {routers: 8},
		"several shards":                       {routers: 60},
		"routers are killed one after another": {routers: 8, killed: []string{"router-3", "router-5", "router-0"}},
	} {
		t.Run(name, func(t *testing.T) {
			f, s := newFleet(c.routers), stored{}
			for i := range streams {
				if n := len(c.killed); n > 0 && i%100 == 50 {
					f.start(c.killed[i/100])
					f.routers[c.killed[i/100]].Restore(f.now, s.records(), true)
				}
				f.begin(f.known[i%c.routers], fmt.Sprint(i), "v1")
				if i%10 == 9 {
					f.run(50 * time.Millisecond)
					s.store(f)
				}
			}
			for _, id := range f.known {
				f.routers[id] = streamversion.New(f.now, view{f, id})
				f.routers[id].Restore(f.now, s.records(), true)
			}
			known := 0
			for i := range streams {
				if a, _ := f.lookup(f.known[(i*7)%c.routers], fmt.Sprint(i)); a.Version == "v1" {
					known++
				}
			}
			if known < streams*95/100 {
				t.Errorf("%d of %d known after all routers were killed", known, streams)
			}
		})
	}
}

// Guards against records that the router which stores them from now on never gets, as the one before was
// killed or the router did not know yet of the others.
func TestRecordsAreHandedOver(t *testing.T) {
	for name, change := range map[string]func(f *fleet, stores string){
		"the one before was killed": func(f *fleet, stores string) {
			f.down[stores] = true
			f.known = slices.DeleteFunc(f.known, func(id string) bool { return id == stores })
		},
		"another one joins that ranks before it": func(f *fleet, stores string) {
			for i := 100; f.routers[stores].LeadsFleet(f.now); i++ {
				f.known = append(f.known, fmt.Sprint("router-", i))
				f.start(fmt.Sprint("router-", i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			const streams = 40
			f := newFleet(6)
			stores := func() string {
				return f.known[slices.IndexFunc(f.known, func(id string) bool { return f.routers[id].LeadsFleet(f.now) })]
			}
			first := stores()
			for i := range streams {
				if from := f.known[i%6]; from != first {
					f.begin(from, fmt.Sprint(i), "v1")
				}
			}
			f.run(100 * time.Millisecond)
			for _, id := range f.known {
				if list := f.routers[id].TakeSnapshots(f.now); id != first && len(list) > 0 {
					t.Errorf("%s stores records that are not its", id)
				}
			}
			f.run(2 * time.Second)
			change(f, first)
			f.run(time.Second)
			got := 0
			for _, id := range f.known {
				for _, s := range f.routers[id].TakeSnapshots(f.now) {
					got += len(s.Records)
				}
			}
			if want := streams * 5 / 6; got < want-1 {
				t.Errorf("%d of %d records reached the router that stores them", got, want)
			}
		})
	}
}

// Guards against taking the ignorance of routers that have just started for proof that a stream is unknown.
func TestRouterThatHasNotRestoredConfirmsNothing(t *testing.T) {
	f := newFleet(8)
	f.begin("router-0", "begun", "v1")
	f.run(100 * time.Millisecond)
	for _, id := range f.known {
		f.routers[id] = streamversion.New(f.now, view{f, id})
	}
	f.routers["router-1"].Lookup(f.now, streamversion.KeyOf("begun"), func(a streamversion.Answer) {
		if a.Confirmed || a.Known {
			t.Errorf("got %+v", a)
		}
	})
	f.run(2 * time.Second)
	f.routers["router-1"].Lookup(f.now, streamversion.KeyOf("begun"), func(a streamversion.Answer) {
		if a.Version != "v1" {
			t.Errorf("got %+v after what was stored has been restored meanwhile", a)
		}
	})
	f.run(100 * time.Millisecond)
	f.routers["router-1"].Restore(f.now, []streamversion.Record{{Key: streamversion.KeyOf("begun"), Version: "v1"}}, true)
	f.run(time.Second)
}
