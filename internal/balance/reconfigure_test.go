package balance_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// admittedUnder returns the configuration under which the requests of these tests are admitted.
func admittedUnder() routing.Spec {
	return routing.Spec{
		Services: []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 230_000}}, {Name: "other"}},
		Routes: []routing.Route{{
			Name: "r", Prefix: "/", Kind: routing.Streaming, Shares: []routing.Share{{Service: "llm"}}, Goal: 5 * time.Second,
			MaxPause: 200 * time.Millisecond, MaxAttempts: 2, Resumable: true, Regions: []string{"a"},
		}},
		Organisations: []routing.Organisation{{Name: "o", Keys: []string{"k"}, Regions: []string{"a", "b"}}},
		Limits:        routing.Limits{TokensPerSecond: tokensPerSecond},
	}
}

// configurationChanges are changes that say nothing about where requests that were admitted before may go.
var configurationChanges = map[string]func(c *routing.Spec){
	"nothing":               func(*routing.Spec) {},
	"timeout":               func(c *routing.Spec) { c.Routes[0].Timeout = time.Millisecond },
	"kind":                  func(c *routing.Spec) { c.Routes[0].Kind = routing.NonIdempotent },
	"attempts":              func(c *routing.Spec) { c.Routes[0].MaxAttempts = 1 },
	"resumable":             func(c *routing.Spec) { c.Routes[0].Resumable = false },
	"pause":                 func(c *routing.Spec) { c.Routes[0].MaxPause = time.Second },
	"service of the route":  func(c *routing.Spec) { c.Routes[0].Shares[0].Service = "other" },
	"route removed":         func(c *routing.Spec) { c.Routes = nil },
	"service removed":       func(c *routing.Spec) { c.Services = nil },
	"service without slots": func(c *routing.Spec) { c.Services[0].Engine.Slots = 0 },
	"service made plain":    func(c *routing.Spec) { c.Services[0].Engine = nil },
	"organisation removed":  func(c *routing.Spec) { c.Organisations = nil },
	"keys":                  func(c *routing.Spec) { c.Organisations[0].Keys = nil },
	"rate of all engines":   func(c *routing.Spec) { c.Limits.TokensPerSecond = 1 },
	"all removed":           func(c *routing.Spec) { *c = routing.Spec{} },
}

func (w *world) reconfigure(change func(c *routing.Spec)) {
	c := admittedUnder()
	change(&c)
	t, err := routing.New(c)
	Expect(err).NotTo(HaveOccurred())
	w.Configure(t)
}

// newAdmittingWorld returns a state with two engines in region a and one in b.
func newAdmittingWorld() *world {
	w := newWorld(0)
	w.SetRegions(map[string]string{"z": "a", "y": "b"})
	w.SetTargets(w.now, []balance.Target{
		{ID: "a-0", Service: "llm", Zone: "z", Slots: 8},
		{ID: "a-1", Service: "llm", Zone: "z", Slots: 8},
		{ID: "b-0", Service: "llm", Zone: "y", Slots: 8},
	})
	w.reconfigure(configurationChanges["nothing"])
	return w
}

func (w *world) admitted(tokens int) *balance.Ticket {
	table, err := routing.New(admittedUnder())
	Expect(err).NotTo(HaveOccurred())
	route, _ := table.Lookup("", "/")
	t := w.unshared("o", tokens)
	t.Path, t.Regions, t.Stream, t.Goal = "/", table.RegionsOf(route, "o"), true, 5*time.Second
	return t
}

// TestNewerConfigurationCutsNoStream guards against streams that their engines break off and that get no other
// engine because a configuration has come since.
func TestNewerConfigurationCutsNoStream(t *testing.T) {
	for name, change := range configurationChanges {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newAdmittingWorld()
			k := w.admitted(500)
			d := w.arrive(k)
			Expect(d).NotTo(BeNil())
			Expect(d.Refused).To(BeEmpty())
			w.Started(w.now, k)
			// Both engines have much to read, as the route's goal allows.
			for range 8 {
				d := w.arrive(w.admitted(10_000))
				Expect(d).NotTo(BeNil())
				Expect(d.Refused).To(BeEmpty())
			}
			w.advance(100 * time.Millisecond)
			w.reconfigure(change)
			w.Ended(w.now, k, balance.Failed)
			k.Tried, k.Resumes = []string{d.Target.ID}, true
			Expect(w.Retry(w.now, k)).To(BeTrue())
			again := decision(k)
			Expect(again).NotTo(BeNil(), "the stream waits")
			Expect(again.Refused).To(BeEmpty())
			Expect(again.Target.Zone).To(Equal("z"), "out of its region")
		})
	}
}

// TestNewerConfigurationLosesNoWaitingRequest guards against requests that wait for an engine and get neither one
// nor a refusal because a configuration has come since.
func TestNewerConfigurationLosesNoWaitingRequest(t *testing.T) {
	for name, change := range configurationChanges {
		for what, frees := range map[string]bool{"an engine has room again": true, "none has": false} {
			t.Run(name+", "+what, func(t *testing.T) {
				RegisterTestingT(t)
				w := newAdmittingWorld()
				var running []*balance.Ticket
				var k *balance.Ticket
				for k == nil {
					next := w.admitted(100)
					if w.arrive(next) != nil {
						w.Started(w.now, next)
						running = append(running, next)
						continue
					}
					k = next
				}
				w.reconfigure(change)
				w.advance(50 * time.Millisecond)
				if frees {
					w.complete(running[0])
					w.advance(20 * time.Millisecond)
					d := decision(k)
					Expect(d).NotTo(BeNil())
					Expect(d.Refused).To(BeEmpty())
					Expect(d.Target.Zone).To(Equal("z"), "out of its region")
					return
				}
				w.advance(3 * time.Second)
				d := decision(k)
				Expect(d).NotTo(BeNil())
				Expect(d.Refused).NotTo(BeEmpty(), "sent to %s", d.Target.ID)
				Expect(d.RetryAfter).To(BeNumerically(">", 0))
				Expect(w.Waiting()).To(BeZero())
			})
		}
	}
}

// TestSecondSendKeepsRegions guards against second sends outside the regions of a request whose route has been removed
// since.
func TestSecondSendKeepsRegions(t *testing.T) {
	for name, change := range configurationChanges {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			w := newAdmittingWorld()
			k := w.admitted(100)
			d := w.arrive(k)
			Expect(d).NotTo(BeNil())
			Expect(d.Refused).To(BeEmpty())
			w.advance(time.Second)
			w.reconfigure(change)
			tried := []string{"a-0", "a-1"}
			if second, _ := w.AskSecond(w.now, k, time.Millisecond, tried, false); second != nil {
				d := decision(second)
				Expect(d == nil || d.Refused != "").To(BeTrue(), "sent outside its regions")
			}
		})
	}
}
