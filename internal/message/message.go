// Package message defines the messages that routers exchange. Messages carry control state
// only, never request bodies or tokens. Package adapter/peer encodes them as the protobuf
// messages of the same names.
package message

import (
	"math"
	"slices"
	"time"

	"github.com/stepcroft/stepcroft/internal/enginespeed"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/returns"
	"github.com/stepcroft/stepcroft/internal/rollout"
	"github.com/stepcroft/stepcroft/internal/streamversion"
)

// RouterID is the name of a router from its settings, unique within the fleet.
type RouterID string

// Message is one of the types below.
type Message interface{ message() }

// Report is what a router periodically reports about its pools. Service counts are
// cumulative within one incarnation, so the next report makes up for a lost one.
type Report struct {
	Incarnation uint64
	Sequence    uint64
	// Leaving is set once the router has begun a planned shutdown.
	Leaving bool
	// Revision is the newest configuration revision the router has applied.
	Revision uint64
	Pools    []PoolReport
}

// PoolReport is the part of a Report about one pool of engines.
type PoolReport struct {
	Pool string
	// Free is the number of free slots on engines that the router owns.
	Free int
	// Organisations omits those that have no waiting requests and whose service has not
	// changed since the last report.
	Organisations []OrganisationReport
}

// OrganisationReport holds the service and the queue of one organisation at one router.
type OrganisationReport struct {
	Organisation string
	// Service is the number of cost units served since the router started.
	Service uint64
	// Waiting is the number of requests queued at the router.
	Waiting int
	// Backlogged is set if the first of them has waited for a report period or longer: the
	// organisation demands more than it is served, rather than having a request that is about
	// to be dispatched.
	Backlogged bool
}

// Grant offers a free slot on an engine to a router that has waiting requests.
type Grant struct {
	Slot         uint64
	Engine       string
	Organisation string
}

// Decline returns a granted slot unused.
type Decline struct {
	Slot uint64
	// Unknown is set in reply to an Audit if the sender does not hold the slot and does not
	// know whether it was ever used.
	Unknown bool
}

// Done returns a slot after its request has ended.
type Done struct {
	Slot         uint64
	Organisation string
	// Cost is the request's final cost, in cost units.
	Cost float64
	// Waiting is the number of the organisation's requests still queued at the sender.
	Waiting int
	// Partial and Failed are copied from request.RunEnd.
	Partial bool
	Failed  bool
}

// Ask tells the owner of engines that the sender has waiting requests which none of its own
// engines can take now.
type Ask struct {
	Pool         string
	Organisation string
	Waiting      int
	// Free is set if, as far as the sender knows, the receiver has free slots. A receiver
	// without any replies with an Idle that reports no slots.
	Free bool
}

// Idle tells other routers that the sender has free slots and no requests for them, or, in
// reply to an Ask, that it has no free slots. It saves them from waiting for the next Report.
type Idle struct {
	Pool string
	Free int
}

// Audit lists slots that were granted to the receiver a while ago, to find those whose Grant,
// Decline or Done was lost.
type Audit struct {
	Slots []uint64
}

// Objects carries configuration: the objects in force at the sender that were written after
// revision Since, complete up to Revision.
type Objects struct {
	Since    uint64
	Revision uint64
	// Objects holds the stored objects as JSON.
	Objects [][]byte
}

// Want asks for the Objects written after a revision.
type Want struct {
	Since uint64
}

// Held tells the owner of an engine how many requests the sender runs there in slots that an
// earlier owner granted. A router that has just taken the engine over learns from it which
// slots are in use.
type Held struct {
	Engine string
	Slots  []uint64
	// Foreign is the number of those requests; it replaces the number last sent.
	Foreign int
}

// Status is what a router that serves callers reports to the other serving routers: the load
// of its requests on targets, and the demand and usage of organisations.
type Status struct {
	Revisions
	Ages  Ages
	Loads []TargetLoad
	Usage []OrganisationUsage
	// SharedParts lists the shared prompt prefixes that were recently sent to each target.
	SharedParts []TargetParts
	// RolloutResults are those of the services that are being rolled out.
	RolloutResults []rollout.Results
	// Speeds has the times of engines, and Returns when refused callers were told to return.
	Speeds  []enginespeed.Report
	Returns []returns.Slots
}

// ZoneStatus is the sum of the Status messages of an availability zone's serving routers.
type ZoneStatus struct {
	Zone   string
	Status Status
}

// TargetParts names the shared prompt prefixes that a target has cached.
type TargetParts struct {
	Target string
	Parts  []string
}

// TargetLoad is the load of one router's requests on a target.
type TargetLoad struct {
	Target string
	// PendingTokens is the number of prompt tokens sent and not yet processed, Running the
	// number of requests sent and not finished, and MemoryTokens the number of tokens of
	// running requests that no other request shares.
	PendingTokens, Running, MemoryTokens int
}

// Loads replaces the loads of a few targets in the sender's last Status. It is sent as soon as
// a load has changed by much. Deltas holds the changes, for receivers that know the sender's
// loads only as a part of a zone's sum.
type Loads struct {
	Loads, Deltas []TargetLoad
}

// OrganisationUsage holds the tokens that an organisation recently demanded of one router and
// the tokens of its requests that were started.
type OrganisationUsage struct {
	Organisation    string
	Demand, Started float64
	// Waiting is the number of its requests that wait for engine capacity.
	Waiting int
}

// Revisions tells how recent a router's copy of the store is: the store's revisions of the
// configuration in force and of the latest changes to the lists of targets, of drained
// availability zones and of roll-outs. Revisions keep rising over the store's whole life, even when it is
// restored from an older copy.
type Revisions struct {
	Config, Targets, Zones, Rollouts int64
	// Version is the version written in the configuration itself, 0 if unknown. It decides
	// which of two configurations is newer: a store restored from an older copy may hold an
	// outdated configuration at a later revision.
	Version int64
}

// NewerThan reports whether any part of r is newer than in other.
func (r Revisions) NewerThan(other Revisions) bool {
	return r.ConfigNewerThan(other) || r.Targets > other.Targets || r.Zones > other.Zones || r.Rollouts > other.Rollouts
}

// OfKind returns the store's revision of one kind of objects.
func (r Revisions) OfKind(kind StoreKind) int64 {
	switch kind {
	case StoreConfig:
		return r.Config
	case StoreTargets:
		return r.Targets
	case StoreZones:
		return r.Zones
	case StoreRollouts:
		return r.Rollouts
	}
	return 0
}

// KindNewerThan reports whether r is newer than other in one kind of objects.
func (r Revisions) KindNewerThan(kind StoreKind, other Revisions) bool {
	if kind == StoreConfig {
		return r.ConfigNewerThan(other)
	}
	return r.OfKind(kind) > other.OfKind(kind)
}

// ConfigNewerThan reports whether the configuration of r is newer than that of other.
func (r Revisions) ConfigNewerThan(other Revisions) bool {
	if r.Version != other.Version && r.Version > 0 && other.Version > 0 {
		return r.Version > other.Version
	}
	return r.Config > other.Config
}

// StoreKind is a kind of the store's objects of which all routers keep a copy.
type StoreKind uint8

// The kinds of objects, and their number.
const (
	StoreConfig StoreKind = iota
	StoreTargets
	StoreZones
	StoreRollouts
	StoreKindCount
)

// String returns the kind's name in log lines and metrics.
func (k StoreKind) String() string {
	switch k {
	case StoreConfig:
		return "config"
	case StoreTargets:
		return "targets"
	case StoreZones:
		return "zones"
	case StoreRollouts:
		return "rollouts"
	}
	return "unknown"
}

// Ages holds, for each kind of objects, the time since the store is known to have held nothing newer
// than the sender's Revisions, or UnknownAge. Known is false in messages of routers that do not tell
// it.
type Ages struct {
	Known  bool
	ByKind [StoreKindCount]time.Duration
}

// Plus returns the ages after a time without confirmation.
func (a Ages) Plus(d time.Duration) Ages {
	for kind := range a.ByKind {
		a.ByKind[kind] = min(a.ByKind[kind]+d, UnknownAge)
	}
	return a
}

// UnknownAge is the age of a copy that nobody has confirmed.
const UnknownAge = math.MaxUint32 * time.Millisecond

// Copy is a router's copy of the store's contents, sent in reply to a NeedCopy. Config is
// empty if the sender has none newer than the receiver's.
type Copy struct {
	ConfigRevision           int64
	Config                   []byte
	Targets, Zones, Rollouts StoredObjects
	// UnstableFor is the remaining time in which an entry's removal may only mean that its
	// TTL ran out while the store was unavailable.
	UnstableFor time.Duration
	// Packed is set if the receiver accepts a compressed form. It is not transmitted.
	Packed bool
}

// StoredObjects holds the store's objects of one kind, or the changes to them.
type StoredObjects struct {
	// Revision is 0 if the sender has nothing newer.
	Revision int64
	// Since is 0 if List is the whole list as of Revision. Otherwise, List holds the objects
	// that were created or changed after revision Since, and Removed those that were deleted
	// after it, without values.
	Since         int64
	List, Removed []StoredObject
	// Gaps are the sender's gaps that end after Since. Senders of earlier releases name none.
	Gaps []Gap
}

// Gap is the span after one revision and before another. Objects may have been added and removed
// within it that a router never knew, but that are known to others whose list is as of a revision
// within it.
type Gap struct{ After, Before int64 }

// Contains reports whether a revision lies within the gap.
func (g Gap) Contains(revision int64) bool { return g.After < revision && revision < g.Before }

// GapAt returns the first of some gaps in which a revision lies, or false if there is none.
func GapAt(gaps []Gap, revision int64) (Gap, bool) {
	i := slices.IndexFunc(gaps, func(g Gap) bool { return g.Contains(revision) })
	if i < 0 {
		return Gap{}, false
	}
	return gaps[i], true
}

// StoredObject is an object in the store.
type StoredObject struct {
	Name     string
	Revision int64
	Value    []byte
}

// NeedCopy asks for a Copy of what is newer than the sender's revisions.
type NeedCopy struct {
	Revisions
	// Packed is set if the sender accepts a compressed Copy, and one in fragments.
	Packed bool
	// DropsUnlisted is set if the sender takes objects that it knows as changed after Since, and
	// that the List lacks, for removed. Then Since may be before its revision.
	DropsUnlisted bool
}

// RouterState tells whether a router is believed to be running.
type RouterState uint8

// The states of a router. Of two records with the same version, the one with the later state
// in this list wins.
const (
	// Alive routers answer pings. A router always reports itself as alive.
	Alive RouterState = iota
	// Suspected routers have not answered a ping.
	Suspected
	// Gone routers have neither answered nor refuted the suspicion in time.
	Gone
)

// String returns the state's name.
func (s RouterState) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "suspected"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// RouterRecord is what a router last reported about itself, with the state in which the other
// routers have seen it since.
type RouterRecord struct {
	ID   RouterID
	Zone string
	// Address is the address for callers, Peer the one for other routers.
	Address, Peer string
	// Incarnation identifies one run of the router's process; Version orders the records of
	// one incarnation.
	Incarnation, Version uint64
	State                RouterState
	// Ready is set while the router can serve callers, Leaving once it has begun a planned
	// shutdown, Serving while it has requests or had some recently.
	Ready, Leaving, Serving bool
	// StoreFailing is set while the router's calls to the store fail.
	StoreFailing bool
	// Capacity is the number of processor cores that the router may use.
	Capacity float64
	// Handover is the address at which other routers hand connections over; empty if it takes
	// none.
	Handover string
}

// PingKind tells what a Ping is for.
type PingKind uint8

// The kinds of a Ping.
const (
	// PingRequest asks the receiver for a PingReply.
	PingRequest PingKind = iota
	// PingReply answers a PingRequest.
	PingReply
	// PingNotice spreads updates and expects no reply.
	PingNotice
)

// Ping checks whether the receiver is alive, replies to such a check, or spreads updates.
type Ping struct {
	From RouterRecord
	Kind PingKind
	// Number is that of a PingRequest among the sender's, repeated in the PingReply; 0 if the sender does not tell it.
	Number uint64
	// Revisions and Ages are the sender's.
	Revisions
	Ages Ages
	// RosterDigest is a hash of the sender's records of routers that are not gone. It does not
	// depend on their order.
	RosterDigest uint64
	// WantAll asks the receiver for all its records of routers.
	WantAll bool
	Records []RouterRecord
	// QuarantineDigest is a hash of the sender's records of requests under which targets
	// crashed.
	QuarantineDigest uint64
}

// Quarantine carries records of requests under which targets crashed.
type Quarantine struct {
	Records []quarantine.Record
	// WantAll asks the receiver for all its records of such requests.
	WantAll bool
}

// StreamVersions tells which versions of services' software began streams, and asks for others.
type StreamVersions struct{ streamversion.Message }

func (StreamVersions) message() {}

// TargetExits tells of processes of targets that have ended.
type TargetExits struct{ Ended []TargetProcess }

// TargetProcess is a process of a target by its entry in the store, as the sender knew it when it saw the end. Where
// entries do not tell when their process started, the others tell which of two processes is the later one. They are
// empty if the sender does not tell them.
type TargetProcess struct {
	Incarnation, Version string
	Writes, Revision     int64
}

func (TargetExits) message() {}

// Trial is a step of the exchange by which a router gets leave to send a request on trial that is held back,
// from the one that ranks first for it.
type Trial struct {
	Step TrialStep
	// ID is the number of the question among those of the router that asked.
	ID   uint64
	Keys []quarantine.Key
	// For is how long the trial may take or, in a refusal, the time after which to ask again.
	For time.Duration
	// Broke is set if the trial has ended with a broken answer.
	Broke bool
}

func (Trial) message() {}

// TrialStep is a step of a Trial.
type TrialStep uint8

// The steps of a Trial: the question, the two answers, and the end.
const (
	TrialAsked TrialStep = iota
	TrialGranted
	TrialRefused
	TrialEnded
)

func (Ping) message()       {}
func (ZoneStatus) message() {}
func (Status) message()     {}
func (Loads) message()      {}
func (Copy) message()       {}
func (NeedCopy) message()   {}
func (Quarantine) message() {}

func (Report) message()  {}
func (Grant) message()   {}
func (Decline) message() {}
func (Done) message()    {}
func (Ask) message()     {}
func (Held) message()    {}
func (Idle) message()    {}
func (Audit) message()   {}
func (Objects) message() {}
func (Want) message()    {}
