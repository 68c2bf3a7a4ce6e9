package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestRegions sends random requests before few and many targets, some of them retried, while the
// configuration changes, and compares the regions of their targets with a plain filter by the
// configuration in force. A request that is allowed nowhere is refused at once.
func TestRegions(t *testing.T) {
	RegisterTestingT(t)
	regions := map[string]string{"z": "a", "y": "b", "x": "c"}
	zones := []string{"z", "y", "x"}
	for name, targets := range map[string]int{"few targets": 6, "many targets": 1200} {
		t.Run(name, func(*testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			w := newWorld(0)
			w.SetRegions(regions)
			var list []balance.Target
			for i := range targets {
				list = append(list, balance.Target{ID: fmt.Sprint("e", i), Service: "llm", Zone: zones[i%3], Slots: 64})
			}
			w.SetTargets(w.now, list)
			some := func() []string {
				return slices.DeleteFunc([]string{"a", "b", "c"}, func(string) bool { return random.IntN(2) == 0 })
			}
			refused := 0
			for i := range 400 {
				route, organisation := some(), some()
				table, err := routing.New(routing.Spec{
					Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 64, CacheTokens: 230_000}}},
					Routes:        []routing.Route{{Name: "r", Prefix: "/", Shares: []routing.Share{{Service: "llm"}}, Regions: route}},
					Organisations: []routing.Organisation{{Name: "o", Regions: organisation}},
					Limits:        routing.Limits{TokensPerSecond: tokensPerSecond},
				})
				Expect(err).NotTo(HaveOccurred())
				w.Configure(table)
				allowed := func(zone string) bool {
					region := regions[zone]
					return (len(route) == 0 || slices.Contains(route, region)) && (len(organisation) == 0 || slices.Contains(organisation, region))
				}
				k := w.prompt("o", fmt.Sprint("s", i%40), 100)
				k.Path = "/"
				d := w.arrive(k)
				Expect(d).NotTo(BeNil())
				if !slices.ContainsFunc(zones, allowed) {
					Expect(d.Refused).To(Equal(balance.NoAllowedTarget))
					refused++
					continue
				}
				Expect(d.Refused).To(BeEmpty())
				Expect(allowed(d.Target.Zone)).To(BeTrue(), "sent to %s", d.Target.Zone)
				if d.Source.ID != "" {
					Expect(allowed(d.Source.Zone)).To(BeTrue(), "fetched from %s", d.Source.Zone)
				}
				if i%3 == 0 {
					w.Ended(w.now, k, balance.Failed)
					k.Tried = append(k.Tried, d.Target.ID)
					if w.Retry(w.now, k) {
						again := decision(k)
						if again != nil && again.Refused == "" {
							Expect(allowed(again.Target.Zone)).To(BeTrue(), "retried in %s", again.Target.Zone)
						}
					}
				} else {
					w.complete(k)
				}
				w.advance(100 * time.Millisecond)
			}
			Expect(refused).To(BeNumerically(">", 10))
		})
	}
}
