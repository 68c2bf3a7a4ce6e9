package streamversion

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/stepcroft/stepcroft/internal/routehistory"
)

const (
	// routersPerShard is how many routers there are for each shard of the records.
	routersPerShard = 32
	// maxShards bounds the number of shards.
	maxShards = 64
	// storingCheckInterval is the time between two checks whether another router stores a shard.
	storingCheckInterval = 200 * time.Millisecond
	// storedFor is how long a record is stored after the stream began. It exceeds the deadlines that
	// callers set.
	storedFor = 20 * time.Second
	// slotDuration is the time whose records are stored together, so that a write has only the newest ones,
	// and slotCount the number of slots, which are used again in turn.
	slotDuration = time.Second
	slotCount    = int(storedFor/slotDuration) + 1
	// maxStored bounds the stored records of a router. One takes 11 bytes of a stored value.
	maxStored = 1 << 15
)

// shardCount returns the number of shards of a fleet, a power of two. Routers that disagree about the size
// of the fleet agree about it mostly; where they do not, records of a stream are found at more routers.
func shardCount(routers int) int {
	n := 1
	for n < maxShards && n*routersPerShard < routers {
		n *= 2
	}
	return n
}

func shardOf(k Key, shards int) int { return int(uint64(k) % uint64(shards)) }

// rankKey returns the key by which routers rank for storing a shard.
func rankKey(shard int) string { return "streams " + strconv.Itoa(shard) }

// holders returns the routers that keep a stream's record: those that rank first for it, and in place of
// the last of them the one that stores it as of the last check. This router is left out if it is one of them.
func (d *Directory) holders(now time.Time, k Key) []string {
	list := d.rank(now, k, copies)
	if len(d.storedBy) == 0 {
		d.shards = shardCount(d.fleet.Size(now))
	}
	shard := shardOf(k, d.shards)
	storing, known := d.storedBy[shard]
	if !known {
		storing = d.storing(now, shard)
		d.storedBy[shard] = storing
	}
	switch {
	case storing == "" || slices.Contains(list, storing):
	case len(list) < copies:
		list = append(list, storing)
	default:
		list[copies-1] = storing
	}
	return list
}

// storing returns the router that stores a shard, "" if it is this one.
func (d *Directory) storing(now time.Time, shard int) string {
	for _, to := range d.fleet.Ranked(now, rankKey(shard), 1) {
		return to
	}
	return ""
}

// handOver sends the records of streams that began here to routers that have come to store their shard: the
// one before may have ended, or be one that does not know yet of the others.
func (d *Directory) handOver(now time.Time) {
	if len(d.stored.list) == 0 || now.Sub(d.storingCheckedAt) < storingCheckInterval {
		return
	}
	d.storingCheckedAt = now
	d.stored.expire(now)
	shards := shardCount(d.fleet.Size(now))
	current := map[int]string{}
	for _, e := range d.stored.list {
		if !e.own || d.stored.known[e.Key].Record != e.Record {
			continue
		}
		shard := shardOf(e.Key, shards)
		to, checked := current[shard]
		if !checked {
			to = d.storing(now, shard)
			current[shard] = to
		}
		if before, sent := d.storedBy[shard]; to != "" && (to != before || !sent || shards != d.shards) {
			m := d.messageTo(to)
			m.Records = append(m.Records, e.Record)
		}
	}
	d.storedBy, d.shards = current, shards
}

// Snapshot has the records of a slot of a shard, which are to outlive all routers.
type Snapshot struct {
	Shard, Slot int
	Records     []Record
}

func slotOf(at time.Time) int { return int(at.UnixNano() / int64(slotDuration) % int64(slotCount)) }

// ServiceVersion is a version of a service's software.
type ServiceVersion struct{ Service, Version string }

// Served is a version of a service's software that is in service, or was when the store was last told.
type Served struct {
	ServiceVersion
	// Gone is set if it has left service, GoneFor how long ago.
	Gone    bool
	GoneFor time.Duration
}

// ledger has the records of the last seconds in the order in which they came. One that says something else of
// a stream than an earlier one is added to it.
type ledger struct {
	list []ledgerEntry
	// known has the last entry of each stream.
	known map[Key]ledgerEntry
	// unsaved is the number of records at the end of the list that have come since the last snapshots were
	// taken.
	unsaved int
}

type ledgerEntry struct {
	Record
	at time.Time
	// own is set if the stream began at this router, also if another one has told more of it since.
	own bool
}

func (l *ledger) add(now time.Time, r Record, own bool) {
	last, known := l.known[r.Key]
	if known && last.Record == r {
		return
	}
	l.expire(now)
	if l.known == nil {
		l.known = map[Key]ledgerEntry{}
	}
	e := ledgerEntry{r, now, own || last.own}
	l.known[r.Key] = e
	l.list = append(l.list, e)
	l.unsaved++
}

// expire removes what is too old, and the oldest records if there are too many.
func (l *ledger) expire(now time.Time) {
	n := 0
	for n < len(l.list) && (len(l.list)-n >= maxStored || now.Sub(l.list[n].at) > storedFor) {
		if r := l.list[n].Record; l.known[r.Key].Record == r {
			delete(l.known, r.Key)
		}
		n++
	}
	l.list = l.list[n:]
	l.unsaved = min(l.unsaved, len(l.list))
	if len(l.list) == 0 {
		// The array that the slice has moved through is released.
		l.list = nil
	}
}

// Unsaved reports whether TakeSnapshots may return something.
func (d *Directory) Unsaved() bool { return d.stored.unsaved > 0 }

// TakeSnapshots returns the records that this router has to store: those of each shard for which it ranks
// first, in each slot in which any have come since the last call, and all of them if it did not store the
// shard before. It returns nothing if no records have come.
func (d *Directory) TakeSnapshots(now time.Time) []Snapshot {
	d.stored.expire(now)
	if d.stored.unsaved == 0 {
		return nil
	}
	oldest := d.stored.list[len(d.stored.list)-d.stored.unsaved].at.Truncate(slotDuration)
	d.stored.unsaved = 0
	shards := shardCount(d.fleet.Size(now))
	stores := map[int]bool{}
	list := map[[2]int]*Snapshot{}
	for _, e := range d.stored.list {
		shard, slot := shardOf(e.Key, shards), slotOf(e.at)
		first, checked := stores[shard]
		if !checked {
			first = d.fleet.First(now, rankKey(shard))
			stores[shard] = first
		}
		if !first || d.stores[shard] && e.at.Before(oldest) {
			continue
		}
		s := list[[2]int{shard, slot}]
		if s == nil {
			s = &Snapshot{Shard: shard, Slot: slot}
			list[[2]int{shard, slot}] = s
		}
		s.Records = append(s.Records, e.Record)
	}
	d.stores = stores
	var out []Snapshot
	for _, s := range list {
		out = append(out, *s)
	}
	return out
}

// Versions are the versions in service of all services.
type Versions struct {
	Served []Served
	// Era is the era of the store that they are written for: one that comes back from an older copy does
	// not hold what was written since.
	Era int64
	// Since is the time from which all versions that have begun streams are among them, the zero time if it is
	// long ago.
	Since time.Time
	// At is the revision of what the writer itself knows them from, 0 if it has seen all streams begin.
	At int64
	// Routes are the services that streams were sent to, up to the configuration of revision ConfigAt; 0 if the writer
	// does not know them all. Limits are the limits of regions, known as long as Routes are.
	Routes   []routehistory.Use
	ConfigAt int64
	Limits   routehistory.Limits
}

// NoStreams is a ConfigAt where no streams began before this router started.
const NoStreams = math.MaxInt64

// Stored is what the store held when a router started.
type Stored struct {
	Records  []Record
	Versions []Served
	// Complete is set unless the store may have lost something that routers had written.
	Complete bool
	// Era is the era of the store that it was read in.
	Era int64
	// At is the store's revision at which Versions was written, 0 if no streams can have begun before.
	At int64
	// Routes, ConfigAt and Limits are as in Versions. RoutesUnknown is set if the store does not tell them.
	Routes        []routehistory.Use
	ConfigAt      int64
	Limits        routehistory.Limits
	RoutesUnknown bool
}

// Resave makes TakeSnapshots return all records once more, since the store may have lost them.
func (d *Directory) Resave() {
	d.stores = nil
	d.stored.unsaved = len(d.stored.list)
}

// LeadsFleet reports whether this router ranks first for what concerns the whole fleet.
func (d *Directory) LeadsFleet(now time.Time) bool { return d.fleet.First(now, rankKey(0)) }

// RanksAmong reports whether this router is one of the n that rank first for what concerns the whole fleet.
func (d *Directory) RanksAmong(now time.Time, n int) bool {
	return len(d.fleet.Ranked(now, rankKey(0), n)) < min(n, d.fleet.Size(now))
}
