// Package fair decides which organisation gets the next free slot of a pool.
// A Policy is given the organisations that have requests waiting, at this
// router or at others, and how much the fleet has served each of them. It is a
// plain state machine, driven by one goroutine.
package fair

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ErrUnknownPolicy is returned for a name under which no policy is registered.
var ErrUnknownPolicy = errors.New("unknown policy")

// Reach says at which routers a policy looks for waiting requests when a slot
// is free.
type Reach int

const (
	// ReachLocal serves only requests that wait at this router.
	ReachLocal Reach = iota
	// ReachLocalFirst serves other routers' requests only when none wait here.
	ReachLocalFirst
	// ReachFleet treats requests alike wherever they wait.
	ReachFleet
)

// Candidate is an organisation with requests waiting for a pool.
type Candidate struct {
	Organisation string
	Weight       float64
	// LocalWaiting is the number of requests that wait at this router.
	LocalWaiting int
	// RemoteWaiting is the number that wait at other routers, as last reported.
	RemoteWaiting int
	// OldestArrival is when the longest-waiting local request arrived.
	OldestArrival time.Time
}

// OrganisationState is what the fleet view holds of one organisation in a pool.
type OrganisationState struct {
	Organisation string
	Weight       float64
	// Served is the number of cost units served since the last view.
	Served float64
	// Backlogged is set while any router of the fleet has a backlog of its requests.
	Backlogged bool
}

// View is the state of the fleet as known to a router.
type View struct {
	Organisations []OrganisationState
	// Age is the age of the view, in intervals between two views.
	Age float64
}

// Policy chooses which organisation is served next. It keeps its own accounts
// of what each was charged. All costs are in cost units: generated tokens.
type Policy interface {
	// Reach says at which routers to look for waiting requests.
	Reach() Reach
	// Pick returns the index of the candidate to serve next. There is at
	// least one candidate.
	Pick(candidates []Candidate) int
	// Charge adds cost to an organisation's account: an estimate at dispatch,
	// then corrections, which may be negative.
	Charge(organisation string, cost float64)
	// Urgent reports whether an organisation has received so much less than its
	// share that its new requests should be announced to other routers at once.
	Urgent(organisation string) bool
	// Observe updates the policy with a new fleet view.
	Observe(v View)
}

// Default is the policy of pools that configure none.
const Default = "share"

type constructor func(r *rand.Rand) Policy

// registry holds the policies by name. New policies are added here.
var registry = map[string]constructor{
	"fifo":   func(*rand.Rand) Policy { return newFIFO() },
	"local":  func(*rand.Rand) Policy { return newLeastServed(ReachLocal) },
	"steal":  func(*rand.Rand) Policy { return newLeastServed(ReachLocalFirst) },
	"greedy": func(*rand.Rand) Policy { return newGreedy() },
	"share":  func(r *rand.Rand) Policy { return newShare(r) },
}

// New returns a new policy of a registered kind. Policies that need randomness
// take it from r.
func New(name string, r *rand.Rand) (Policy, error) {
	if name == "default" {
		name = Default
	}
	c, ok := registry[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownPolicy, "%q", name)
	}
	return c(r), nil
}

// Known reports whether New accepts a name.
func Known(name string) bool {
	_, ok := registry[name]
	return ok || name == "default"
}

// Names returns the names of all registered policies, sorted.
func Names() []string { return slices.Sorted(maps.Keys(registry)) }
