// Package scenario describes a load test, which is read from a YAML file: the fleet of routers
// and targets, the organisations' requests, and the faults to inject. It draws the individual
// requests from a random seed.
package scenario

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/settings"
	"github.com/stepcroft/stepcroft/internal/standin"
)

// Scenario describes the fleet, the load and the faults of a load test.
type Scenario struct {
	Name string `yaml:"name" validate:"required,max=63,name"`
	// Duration is how long the load lasts.
	Duration settings.Duration `yaml:"duration" validate:"required,min=1000000000,max=86400000000000"`
	// Zones are the availability zones. Routers and targets are assigned to them round robin.
	Zones         []string       `yaml:"zones" validate:"required,min=1,max=64,dive,name"`
	Routers       int            `yaml:"routers" validate:"required,min=1,max=1000"`
	Pools         []Pool         `yaml:"pools" validate:"required,min=1,dive"`
	Services      []Service      `yaml:"services" validate:"dive"`
	Organisations []Organisation `yaml:"organisations" validate:"required,min=1,dive"`
	Faults        []Fault        `yaml:"faults" validate:"dive"`
}

// Pool is a set of identical engines.
type Pool struct {
	Name    string `yaml:"name" validate:"required,max=63,name"`
	Engines int    `yaml:"engines" validate:"required,min=1,max=10000"`
	// Slots is the number of requests that one engine runs at the same time.
	Slots int `yaml:"slots" validate:"required,min=1,max=4096"`
	// TokenTime is the time that an engine takes to generate one token of a request.
	TokenTime settings.Duration `yaml:"token_time" validate:"required,min=100000,max=10000000000"`
	// PrefillRate is the number of prompt tokens that an engine processes per second; 0 means
	// that this takes no time.
	PrefillRate float64 `yaml:"prefill_rate" validate:"min=0"`
	// PromptCost is the cost of one prompt token in units of one generated token.
	PromptCost float64 `yaml:"prompt_cost" validate:"min=0,max=100"`
	// Policy is the fair policy of the pool; empty means the default.
	Policy string `yaml:"policy" validate:"omitempty,policy"`
}

// Service is a plain service that runs on a number of boxes.
type Service struct {
	Name  string `yaml:"name" validate:"required,max=63,name"`
	Boxes int    `yaml:"boxes" validate:"required,min=1,max=1000"`
}

// Organisation is one organisation with its load.
type Organisation struct {
	Name     string         `yaml:"name" validate:"required,max=63,name"`
	Weight   float64        `yaml:"weight" validate:"omitempty,min=0.01,max=1000"`
	Priority int            `yaml:"priority" validate:"min=0,max=9"`
	Limits   config.Limits  `yaml:"limits"`
	Requests []RequestGroup `yaml:"requests" validate:"required,min=1,dive"`
}

// EffectiveWeight returns the organisation's weight, or the default weight if none is set.
func (o Organisation) EffectiveWeight() float64 { return cmp.Or(o.Weight, config.DefaultWeight) }

// RequestGroup is a group of similar requests that arrive as a Poisson process.
type RequestGroup struct {
	// Pool or Service names the target of the requests; exactly one of them is set.
	Pool    string `yaml:"pool" validate:"omitempty,name"`
	Service string `yaml:"service" validate:"omitempty,name"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `yaml:"rate" validate:"required,min=0.001,max=100000"`
	// Tokens and PromptTokens are the numbers of generated tokens and of prompt tokens of a
	// request.
	Tokens       TokenDistribution `yaml:"tokens"`
	PromptTokens TokenDistribution `yaml:"prompt"`
	// Routers is the number of routers that the requests are sent to, chosen at random; 0 means
	// all. Skew is the fraction of the requests that is sent to the first of them; the rest
	// is spread evenly over all of them.
	Routers int     `yaml:"routers" validate:"min=0,max=1000"`
	Skew    float64 `yaml:"skew" validate:"min=0,max=1"`
	// StreamedFraction is the fraction of the requests that asks for a streamed answer.
	StreamedFraction float64           `yaml:"streamed" validate:"min=0,max=1"`
	Deadline         settings.Duration `yaml:"deadline" validate:"omitempty,min=10000000"`
	NotRepeatable    bool              `yaml:"not_repeatable"`
	// MaxHintFactor is the largest factor by which cost hints are too high or too low; 0 means that
	// requests have no cost hints.
	MaxHintFactor float64 `yaml:"hint_error" validate:"omitempty,min=1,max=100"`
	Flood         Flood   `yaml:"flood"`
}

// TokenDistribution is a log-normal distribution of token counts, limited to Max; a Max of 0 means
// no limit.
type TokenDistribution struct {
	Mean  float64 `yaml:"mean" validate:"min=0,max=1000000"`
	Sigma float64 `yaml:"sigma" validate:"min=0,max=4"`
	Max   int     `yaml:"max" validate:"min=0,max=1000000"`
}

// Flood multiplies the rate of a group of requests by Factor, beginning at Start, for Duration. A
// Factor of 0 means that there is no flood.
type Flood struct {
	Start    settings.Duration `yaml:"at" validate:"min=0"`
	Duration settings.Duration `yaml:"for" validate:"min=0"`
	Factor   float64           `yaml:"factor" validate:"min=0,max=1000"`
}

// Fault is a fault that is injected at Start and lasts for Duration, or until the end of the load if
// that is 0.
type Fault struct {
	Start    settings.Duration `yaml:"at" validate:"min=0"`
	Duration settings.Duration `yaml:"for" validate:"min=0"`
	// Target is "platform", a router such as r1, or an engine such as quoting-1.
	Target string `yaml:"target" validate:"required"`
	// StandinFaults is put in force at the stand-in if Target is an engine or the platform.
	StandinFaults standin.Faults `yaml:"set"`
	// Action is what happens to a router: stop it, drain it (a planned shutdown), or cut its
	// connections to all other routers.
	Action string `yaml:"action" validate:"omitempty,oneof=stop drain cut"`
}

// Check implements settings.Checker: names are unique, and each group of requests has an existing
// target.
func (s Scenario) Check() []settings.Problem {
	problems := s.checkNames()
	pools := map[string]bool{}
	for _, p := range s.Pools {
		pools[p.Name] = true
	}
	services := map[string]bool{}
	for _, v := range s.Services {
		services[v.Name] = true
	}
	for i, o := range s.Organisations {
		for j, r := range o.Requests {
			field := fmt.Sprintf("organisations[%d].requests[%d]", i, j)
			problems = append(problems, r.check(field, pools, services, s.Routers)...)
		}
	}
	return problems
}

// checkNames returns a problem for each name that its list has already.
func (s Scenario) checkNames() []settings.Problem {
	var problems []settings.Problem
	seen := map[string]bool{}
	checkUnique := func(kind string, i int, name string) {
		if key := kind + name; !seen[key] {
			seen[key] = true
			return
		}
		problems = append(problems, settings.Problem{
			Field: fmt.Sprintf("%s[%d].name", kind, i), Text: fmt.Sprintf("%q stands twice", name),
		})
	}
	for i, p := range s.Pools {
		checkUnique("pools", i, p.Name)
	}
	for i, v := range s.Services {
		checkUnique("services", i, v.Name)
	}
	for i, o := range s.Organisations {
		checkUnique("organisations", i, o.Name)
	}
	return problems
}

func (r RequestGroup) check(field string, pools, services map[string]bool, routers int) []settings.Problem {
	var problems []settings.Problem
	if (r.Pool == "") == (r.Service == "") {
		problems = append(problems, settings.Problem{Field: field, Text: "exactly one of pool and service must be set"})
	}
	if r.Pool != "" && !pools[r.Pool] {
		problems = append(problems, settings.Problem{Field: field + ".pool", Text: fmt.Sprintf("there is no pool %q", r.Pool)})
	}
	if r.Service != "" && !services[r.Service] {
		problems = append(problems, settings.Problem{Field: field + ".service", Text: fmt.Sprintf("there is no service %q", r.Service)})
	}
	if r.Pool != "" && r.Tokens.Mean <= 0 {
		problems = append(problems, settings.Problem{Field: field + ".tokens", Text: "mean is missing"})
	}
	if r.Routers > routers {
		problems = append(problems, settings.Problem{
			Field: field + ".routers", Text: fmt.Sprintf("is above the number of routers, %d", routers),
		})
	}
	return problems
}

// Scaled returns the scenario with k times as many routers and engines and k times the load. The
// load of one router and the organisations stay the same.
func (s Scenario) Scaled(k int) Scenario {
	s.Routers *= k
	s.Pools = slices.Clone(s.Pools)
	for i := range s.Pools {
		s.Pools[i].Engines *= k
	}
	return s.withRequests(func(q *RequestGroup) {
		q.Rate *= float64(k)
		q.Routers *= k
	})
}

// Stretched returns the scenario with engines and load slowed down by a factor, so that one
// machine can run a large fleet. The routers' report periods stay the same.
func (s Scenario) Stretched(factor float64) Scenario {
	s.Pools = slices.Clone(s.Pools)
	for i := range s.Pools {
		s.Pools[i].TokenTime = settings.Duration(float64(s.Pools[i].TokenTime) * factor)
		s.Pools[i].PrefillRate /= factor
	}
	return s.withRequests(func(q *RequestGroup) {
		q.Rate /= factor
		q.Deadline = settings.Duration(float64(q.Deadline) * factor)
	})
}

// Skewed returns the scenario with every other organisation sending each group of its requests
// to a single router.
func (s Scenario) Skewed() Scenario {
	n := 0
	return s.withOrganisations(func(o *Organisation) {
		n++
		for i := range o.Requests {
			if n%2 == 0 {
				o.Requests[i].Routers, o.Requests[i].Skew = 1, 0
			}
		}
	})
}

// withRequests returns a copy in which change was applied to copies of all groups of requests.
func (s Scenario) withRequests(change func(q *RequestGroup)) Scenario {
	return s.withOrganisations(func(o *Organisation) {
		for i := range o.Requests {
			change(&o.Requests[i])
		}
	})
}

// withOrganisations returns a copy in which change was applied to copies of the organisations.
func (s Scenario) withOrganisations(change func(o *Organisation)) Scenario {
	s.Organisations = slices.Clone(s.Organisations)
	for i := range s.Organisations {
		s.Organisations[i].Requests = slices.Clone(s.Organisations[i].Requests)
		change(&s.Organisations[i])
	}
	return s
}
