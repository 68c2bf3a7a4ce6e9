// Package message defines what routers say to one another. Messages carry
// control state only: never request bodies and never tokens.
package message

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// RouterID names a router within the fleet; it comes from its settings.
type RouterID string

// Message is one of the types below.
type Message interface{ message() }

// Report is a router's periodic account of itself. Service is cumulative
// within one incarnation, so a lost report costs nothing but age.
type Report struct {
	Incarnation uint64
	Sequence    uint64
	// Leaving is set from the moment a planned stop begins.
	Leaving bool
	// Revision is the newest configuration revision the router has applied.
	Revision uint64
	Pools    []PoolReport
}

// PoolReport is the part of a Report that concerns one engine pool.
type PoolReport struct {
	Pool string
	// Free is the number of free slots on engines that the router owns.
	Free int
	// Organisations leaves out those with nothing waiting and no more
	// service than was last reported.
	Organisations []OrganisationReport
}

// OrganisationReport tells what one router has done for one organisation.
type OrganisationReport struct {
	Organisation string
	// Service is the number of cost units served since the router started.
	Service uint64
	// Waiting is the number of requests queued at the router.
	Waiting int
	// Backlogged is set if the first of them has waited for a report period
	// or longer: the organisation asks for more than it gets, and does not
	// just have a request on its way through.
	Backlogged bool
}

// Grant offers a free slot on an engine to a router that holds work.
type Grant struct {
	Slot         uint64
	Engine       string
	Organisation string
}

// Decline returns a granted slot unused.
type Decline struct {
	Slot uint64
	// Unknown is set in answer to an Audit: the sender does not hold the
	// slot, and cannot say whether it was ever used.
	Unknown bool
}

// Done returns a slot after its request ended.
type Done struct {
	Slot         uint64
	Organisation string
	// Cost is what the request came to, in cost units.
	Cost float64
	// Waiting is what the sender still has queued for the organisation.
	Waiting int
	// Partial and Failed are those of request.RunEnd.
	Partial bool
	Failed  bool
}

// Ask tells an owner that a router has work waiting which none of its own
// engines can take now.
type Ask struct {
	Pool         string
	Organisation string
	Waiting      int
	// Free is set if the sender believes that the receiver has free slots;
	// one that has none answers with Idle and no slots.
	Free bool
}

// Idle tells other routers at once that the sender has free slots and found
// no work for them, or in answer to an Ask that it has none; without it they
// would hear with the next report.
type Idle struct {
	Pool string
	Free int
}

// Audit lists slots that the receiver was granted a while ago, to find those
// whose grant or return was lost.
type Audit struct {
	Slots []uint64
}

// Objects carries configuration: the objects in force at the sender that were
// written after revision Since, complete up to Revision.
type Objects struct {
	Since    uint64
	Revision uint64
	// Objects are stored objects in JSON.
	Objects [][]byte
}

// Want asks for the configuration written after a revision.
type Want struct {
	Since uint64
}

// Held counts the requests that the sender runs on an engine by grants of an
// earlier owner. An owner that
// has just taken the engine over learns its used slots from it.
type Held struct {
	Engine string
	Slots  []uint64
	// Foreign is that number; it replaces the one said before.
	Foreign int
}

// Status is what a router that serves callers tells the others that do: what its
// requests put on targets and what organisations asked of it.
type Status struct {
	Revisions
	Loads []TargetLoad
	Usage []OrganisationUsage
	// SharedParts tells of shared parts of prompts that were sent to targets lately.
	SharedParts []TargetParts
}

// ZoneStatus is the sum of what the serving routers of an availability zone report.
type ZoneStatus struct {
	Zone   string
	Status Status
}

// TargetParts names parts of prompts that a target keeps.
type TargetParts struct {
	Target string
	Parts  []string
}

// TargetLoad is what one router's requests put on a target.
type TargetLoad struct {
	Target string
	// PendingTokens is the prompt tokens sent and not yet read, MemoryTokens the tokens
	// that running requests share with no other.
	PendingTokens, Running, MemoryTokens int
}

// Loads replaces what the sender's last Status said of a few targets. It is
// sent at once where much has changed; Deltas is the change, for those who know the
// sender's loads only as a part of a sum.
type Loads struct {
	Loads, Deltas []TargetLoad
}

// OrganisationUsage is what an organisation lately asked of one router and
// got, in tokens.
type OrganisationUsage struct {
	Organisation    string
	Demand, Started float64
	// Waiting is the number of its requests to engines that wait for room.
	Waiting int
}

// Revisions says how new a router's copy of the store is: the store's revisions of the
// configuration in force and of the newest changes to the lists of targets and of drained
// availability zones. Revisions rise over the store's whole life, also where it comes back
// from an older copy.
type Revisions struct {
	Config, Targets, Zones int64
	// Version is the one that the configuration itself names, 0 where it is not known. It
	// orders configurations: a store that came back older may hold one that is out of date
	// at a later revision.
	Version int64
}

// NewerThan reports whether anything is newer than in other revisions.
func (r Revisions) NewerThan(other Revisions) bool {
	return r.ConfigNewerThan(other) || r.Targets > other.Targets || r.Zones > other.Zones
}

// ConfigNewerThan reports whether the configuration is newer than in other revisions.
func (r Revisions) ConfigNewerThan(other Revisions) bool {
	if r.Version != other.Version && r.Version > 0 && other.Version > 0 {
		return r.Version > other.Version
	}
	return r.Config > other.Config
}

// Copy is a router's copy of what the store holds. An empty Config means
// that it has none newer than was asked for.
type Copy struct {
	ConfigRevision int64
	Config         []byte
	Targets, Zones StoredObjects
	// UnstableFor is for how much longer entries that go may have gone only
	// because the store was away.
	UnstableFor time.Duration
}

// StoredObjects is what is to be said of the store's objects of one kind.
type StoredObjects struct {
	// Revision is 0 if there is nothing newer to say.
	Revision int64
	// Since is 0 if List is the whole list as of Revision; else List has the objects
	// that came or changed after revision Since, and Removed those that were deleted, without
	// values.
	Since         int64
	List, Removed []StoredObject
}

// StoredObject is an object in the store.
type StoredObject struct {
	Name     string
	Revision int64
	Value    []byte
}

// NeedCopy asks for a Copy of what is newer than the given revisions.
type NeedCopy Revisions

// RouterState is what is believed of a router.
type RouterState uint8

// The beliefs, each of which outweighs the ones before it.
const (
	// Alive is what a router says of itself.
	Alive RouterState = iota
	// Suspected routers have not answered.
	Suspected
	// Gone routers have not answered and have not denied being suspected.
	Gone
)

// String returns the belief in a word.
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

// RouterRecord is what a router last said of itself, or what others believe of
// it since.
type RouterRecord struct {
	ID   RouterID
	Zone string
	// Address is where callers connect, Peer where other routers do.
	Address, Peer string
	// Incarnation tells a router's lives apart; Version orders what is said
	// during one of them.
	Incarnation, Version uint64
	State                RouterState
	// Ready is set while the router can serve callers, Leaving once it makes a
	// planned stop, Serving while it has requests or had some lately.
	Ready, Leaving, Serving bool
	// StoreTrouble is set while the router's calls to the store fail.
	StoreTrouble bool
	// Capacity is the number of processor cores that the router may use.
	Capacity float64
}

// PingKind is what a Ping is for.
type PingKind uint8

// The kinds of a Ping.
const (
	// PingRequest asks the receiver for a PingReply.
	PingRequest PingKind = iota
	// PingReply is the sign of life that was asked for.
	PingReply
	// PingNotice only passes on what is new.
	PingNotice
)

// Ping asks for a sign of life, answers, or passes on what is new.
type Ping struct {
	From RouterRecord
	Kind PingKind
	// Revisions are the sender's.
	Revisions
	// Digest is a hash over all that the sender knows of routers that are not
	// gone, in any order.
	Digest uint64
	// WantAll is set if the sender asks for all that the receiver knows of
	// routers.
	WantAll bool
	Records []RouterRecord
	// QuarantineDigest is a hash over all that the sender knows of requests that ended
	// targets.
	QuarantineDigest uint64
}

// Quarantine tells of requests that ended targets.
type Quarantine struct {
	Records []quarantine.Record
	// WantAll is set if the sender asks for all that the receiver knows of them.
	WantAll bool
}

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
