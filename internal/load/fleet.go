package load

import (
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/adapter/platform"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/fair"
	"github.com/stepcroft/stepcroft/internal/ledger"
	"github.com/stepcroft/stepcroft/internal/report"
	"github.com/stepcroft/stepcroft/internal/router"
	"github.com/stepcroft/stepcroft/internal/scenario"
	"github.com/stepcroft/stepcroft/internal/standin"
)

// loopback is the address to listen on: a free port of the loopback interface.
const loopback = "127.0.0.1:0"

// fleet holds the stand-ins and routers of one run.
type fleet struct {
	platform *standin.Platform
	// engines are the engines by name.
	engines  map[string]*standin.Engine
	services []*standin.Service
	routers  []*router.Router
	// platformClients are the routers' clients of the platform.
	platformClients []*platform.Client
	// stopped holds the indexes of the routers that a fault stopped.
	stopped map[int]bool
}

// apiKey returns the API key of an organisation.
func apiKey(organisation string) string { return "key-of-" + organisation }

// startFleet starts the stand-ins and routers of a scenario. An empty policy leaves each pool its
// own.
func startFleet(s *scenario.Scenario, o Options, policy string, l *ledger.Ledger) (*fleet, error) {
	f := &fleet{engines: map[string]*standin.Engine{}, stopped: map[int]bool{}}
	if err := f.start(s, o, policy, l); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(s *scenario.Scenario, o Options, policy string, l *ledger.Ledger) error {
	var err error
	if f.platform, err = standin.NewPlatform(loopback); err != nil {
		return err
	}
	if err := f.startEngines(s, l); err != nil {
		return err
	}
	if err := f.startServices(s, l); err != nil {
		return err
	}
	if err := f.seedObjects(s); err != nil {
		return err
	}
	return f.startRouters(s, o, policy)
}

func (f *fleet) startEngines(s *scenario.Scenario, l *ledger.Ledger) error {
	for _, p := range s.Pools {
		for i := range p.Engines {
			name := fmt.Sprintf("%s-%d", p.Name, i+1)
			e, err := standin.NewEngine(standin.EngineOptions{
				Address: loopback, Slots: p.Slots, PrefillRate: p.PrefillRate,
				TokenTime: time.Duration(p.TokenTime), PromptCost: p.PromptCost, Observer: l,
			})
			if err != nil {
				return err
			}
			f.engines[name] = e
			err = f.platform.Seed(config.KindBox, name, config.Box{
				Name: name, Role: config.RoleEngine, Zone: s.Zones[i%len(s.Zones)],
				Address: e.Address(), Pool: p.Name, Slots: p.Slots,
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) startServices(s *scenario.Scenario, l *ledger.Ledger) error {
	for _, v := range s.Services {
		for i := range v.Boxes {
			e, err := standin.NewService(loopback, l)
			if err != nil {
				return err
			}
			f.services = append(f.services, e)
			name := fmt.Sprintf("%s-%d", v.Name, i+1)
			err = f.platform.Seed(config.KindBox, name, config.Box{
				Name: name, Role: config.RoleService, Zone: s.Zones[i%len(s.Zones)],
				Address: e.Address(), Pool: v.Name,
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// seedObjects writes the scenario's pools and organisations to the platform.
func (f *fleet) seedObjects(s *scenario.Scenario) error {
	for _, p := range s.Pools {
		spec := config.Pool{Name: p.Name, Policy: p.Policy, PromptCost: p.PromptCost}
		if spec.Policy == "" {
			spec.Policy = fair.Default
		}
		if err := f.platform.Seed(config.KindPool, p.Name, spec); err != nil {
			return err
		}
	}
	for _, o := range s.Organisations {
		spec := config.Organisation{
			Name: o.Name, Weight: o.Weight, Priority: o.Priority, Limits: o.Limits,
			Keys: []string{config.HashKey(apiKey(o.Name))},
		}
		if err := f.platform.Seed(config.KindOrganisation, o.Name, spec); err != nil {
			return err
		}
	}
	return nil
}

// startRouters starts the routers. For report.Omniscient it starts a single router, which knows the
// whole load, with the policy "local".
func (f *fleet) startRouters(s *scenario.Scenario, o Options, policy string) error {
	n := s.Routers
	if policy == report.Omniscient {
		n, policy = 1, "local"
	}
	for i := range n {
		client := platform.New(f.platform.Address())
		f.platformClients = append(f.platformClients, client)
		name := fmt.Sprintf("r%d", i+1)
		zone := s.Zones[i%len(s.Zones)]
		r, err := router.New(router.Options{
			ID: name, Zone: zone, Listen: loopback, PeerListen: loopback, Platform: client,
			Policy: policy, ViewDelay: o.ViewDelay, Seed: o.Seed*1000 + uint64(i) + 1,
			Log: logr.Discard(),
		})
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
		err = f.platform.Seed(config.KindBox, name, config.Box{
			Name: name, Role: config.RoleRouter, Zone: zone, Address: r.Address(), Peer: r.Self().Peer,
		})
		if err != nil {
			return err
		}
	}
	return f.waitReady(n)
}

// waitReady waits until each of the n routers knows all the others and every engine has an owner.
func (f *fleet) waitReady(n int) error {
	deadline := clock.Now().Add(20 * time.Second)
	for _, r := range f.routers {
		for {
			status := r.Status()
			if status.Routers == n && status.ViewAge < time.Minute && f.ownedEngines() == len(f.engines) {
				break
			}
			if clock.Now().After(deadline) {
				return errors.Errorf("routers did not discover one another and all engines in time; status of one: %+v", status)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// ownedEngines returns the number of engines that routers own.
func (f *fleet) ownedEngines() int {
	n := 0
	for _, r := range f.routers {
		n += r.Status().OwnedEngines
	}
	return n
}

// stop stops all routers, clients and stand-ins that are still running.
func (f *fleet) stop() {
	for i, r := range f.routers {
		if !f.stopped[i] {
			r.Stop()
		}
	}
	for _, c := range f.platformClients {
		c.Stop()
	}
	for _, e := range f.engines {
		e.Stop()
	}
	for _, v := range f.services {
		v.Stop()
	}
	if f.platform != nil {
		f.platform.Stop()
	}
}
