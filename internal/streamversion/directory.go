package streamversion

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	// copies is the number of routers that rendezvous hashing chooses for a record, with the one that
	// stores it. As it is lost only if all of them end at once, there is more than one.
	copies = 3
	// answerTimeout is how long a lookup waits for the answers of the first routers until it asks
	// as many others, and lookupTimeout how long it waits in all.
	answerTimeout = 100 * time.Millisecond
	lookupTimeout = 300 * time.Millisecond
	// restoreTimeout is the same for a router that has not restored yet what was stored before it started.
	restoreTimeout = time.Second
	// correctionRepeats is how often a correction is told again, since messages may be lost, and repeatInterval the
	// time between two.
	correctionRepeats = 3
	repeatInterval    = 200 * time.Millisecond
	// resumeDelay is how long a router that has stood still takes at most to read what others have told meanwhile.
	resumeDelay = 100 * time.Millisecond
	// maxPrompt is how often TakePrompt returns messages between two ticks, so that a router that
	// begins many streams sends their records together.
	maxPrompt = 16
)

// Fleet ranks routers.
type Fleet interface {
	// Ranked returns the addresses of the n routers that rank first for a key, without this one if
	// it is among them.
	Ranked(now time.Time, key string, n int) []string
	// First reports whether this router ranks first for a key.
	First(now time.Time, key string) bool
	// Size returns the number of routers.
	Size(now time.Time) int
}

// Message is what routers tell one another about the versions of streams.
type Message struct {
	// Records tell the versions of streams, Asked lists streams whose version the sender asks
	// for, and Unknown those for which the receiver asked and that the sender does not know.
	Records        []Record
	Asked, Unknown []Key
	// Stored has the versions in service that the store holds, as of its revision StoredAt; 0 if that is not known.
	Stored   []ServiceVersion
	StoredAt int64
}

// Outgoing is a message to one router.
type Outgoing struct {
	To      string
	Message Message
}

// Evidence is how a router knows the version that began a stream.
type Evidence string

// The kinds of evidence: a record of the stream, that its service has and had no other version while this
// router watched, that no other one was in service before this router started, by what was stored, or that several
// services at which it may have begun all had the same one.
const (
	EvidenceRecord        Evidence = "record"
	EvidenceOnlyVersion   Evidence = "only-version"
	EvidenceStoredVersion Evidence = "stored-version"
	EvidenceSameVersion   Evidence = "same-version"
)

// Answer is the result of a lookup.
type Answer struct {
	// Version is the version that began the stream, if Known is set, and Evidence how that is known.
	Version  string
	Known    bool
	Evidence Evidence
	// Confirmed is set if those who would have to know the stream do not: this router, if there are no
	// others, or others that ran when it began or have restored what was stored. If neither Known nor
	// Confirmed is set, nobody answered who would have to know it.
	Confirmed bool
}

// Directory finds out which version began a stream. Use New to make one. It is driven by one
// goroutine.
type Directory struct {
	fleet   Fleet
	records records
	// startedAt is when the directory was created. What began before is known once it was restored.
	startedAt time.Time
	restored  bool
	stored    ledger
	// stores tells for which shards this router ranked first when it took snapshots last.
	stores map[int]bool
	// storedBy has the router that stores each of the shards that streams began in here, as of
	// storingCheckedAt, and shards is their number.
	storedBy         map[int]string
	shards           int
	storingCheckedAt time.Time
	// hadPeers is set once there was another router.
	hadPeers bool
	outbox   map[string]*Message
	lookups  map[Key]*lookup
	// trustedFrom is when records are trusted again that a correction may be on its way to.
	trustedFrom time.Time
	// repeats has the corrections that are to be told again.
	repeats []repeat
	// prompt counts the calls of TakePrompt since the last tick that returned messages.
	prompt int
}

// lookup is a question to other routers that waits for answers.
type lookup struct {
	began time.Time
	asked []string
	// waits is set until what other routers have told before has been read.
	waits bool
	// unknown is set once a router has answered that it does not know the stream, and wider once
	// more than the first routers have been asked.
	unknown, wider bool
	done           []func(Answer)
}

// New returns a directory without records.
func New(now time.Time, f Fleet) *Directory {
	return &Directory{fleet: f, records: newRecords(now), startedAt: now, storedBy: map[int]string{}, outbox: map[string]*Message{}, lookups: map[Key]*lookup{}}
}

// Restore adds the records that other routers, or an earlier process of this one, stored. complete tells
// whether these are all.
func (d *Directory) Restore(now time.Time, list []Record, complete bool) {
	d.restored = complete
	d.Add(now, list)
	for k, l := range d.lookups {
		d.endIfConfirmed(now, k, l)
	}
}

// Add adds records that the store holds. It may lack corrections.
func (d *Directory) Add(now time.Time, list []Record) {
	for _, r := range list {
		d.stored.add(now, d.records.put(now, r, true), false)
	}
}

// hear adds records that another router keeps, and tells it of those of which this one knows more: it may have been
// told of a stream by one that had not heard yet that the version was wrong.
func (d *Directory) hear(now time.Time, from string, list []Record) {
	for _, r := range list {
		known := d.records.put(now, r, true)
		d.stored.add(now, known, false)
		if known != r {
			m := d.messageTo(from)
			m.Records = append(m.Records, known)
		}
		if l := d.lookups[r.Key]; l != nil {
			l.answered(from)
			d.endIfConfirmed(now, r.Key, l)
		}
	}
}

// answered notes that a router has answered.
func (l *lookup) answered(from string) {
	l.asked = slices.DeleteFunc(l.asked, func(to string) bool { return to == from })
}

// complete reports whether the directory would have to know each stream that it is asked for.
func (d *Directory) complete(now time.Time) bool {
	return d.restored || now.Sub(d.startedAt) > TTL
}

// Begin records which version began a stream. If it is to be shared, other routers are told.
func (d *Directory) Begin(now time.Time, r Record, share bool) {
	r = d.records.put(now, r, false)
	if !share {
		return
	}
	d.stored.add(now, r, true)
	d.tell(now, r)
}

// tell tells the routers that keep a record of it.
func (d *Directory) tell(now time.Time, r Record) {
	for _, to := range d.holders(now, r.Key) {
		m := d.messageTo(to)
		m.Records = append(m.Records, r)
	}
}

// Correct records another version for a stream that began here, and tells other routers: several times, since one
// that misses it goes on telling the version before.
func (d *Directory) Correct(now time.Time, k Key, version string) {
	known, _, _ := d.records.find(k)
	d.Begin(now, Record{Key: k, Version: version, Corrections: known.Corrections + 1}, true)
	d.repeats = append(d.repeats, repeat{key: k, left: correctionRepeats, at: now.Add(repeatInterval)})
}

// repeat is a correction that is to be told again.
type repeat struct {
	key  Key
	left int
	at   time.Time
}

// repeatCorrections tells again of the corrections that are due.
func (d *Directory) repeatCorrections(now time.Time) {
	var next []repeat
	for _, c := range d.repeats {
		if now.Before(c.at) {
			next = append(next, c)
			continue
		}
		if r, _, known := d.records.find(c.key); known {
			d.tell(now, r)
		}
		if c.left > 1 {
			next = append(next, repeat{key: c.key, left: c.left - 1, at: now.Add(repeatInterval)})
		}
	}
	d.repeats = next
}

// Lookup calls done with the version that began a stream: at once if nobody told this router of it, else once those that
// keep its record have answered or have not answered in time. They are asked as well if this router keeps the record,
// which may have missed a correction, or has stood still.
func (d *Directory) Lookup(now time.Time, k Key, done func(Answer)) {
	waits := now.Before(d.trustedFrom)
	if r, told, known := d.records.find(k); known && !told && !waits {
		done(Answer{Version: r.Version, Known: true, Evidence: EvidenceRecord})
		return
	}
	if l := d.lookups[k]; l != nil {
		l.done = append(l.done, done)
		return
	}
	first := d.holders(now, k)
	l := &lookup{began: now, done: []func(Answer){done}, waits: waits}
	d.lookups[k] = l
	d.ask(k, l, first)
	d.endIfConfirmed(now, k, l)
}

// Resume must be called after this router has stood still: other routers may have told of corrections meanwhile,
// which are still to be read. Lookups wait for them.
func (d *Directory) Resume(now time.Time) { d.trustedFrom = now.Add(resumeDelay) }

// Receive handles a message of another router.
func (d *Directory) Receive(now time.Time, from string, m Message) {
	d.hear(now, from, m.Records)
	for _, k := range m.Unknown {
		if l := d.lookups[k]; l != nil {
			l.unknown = true
			l.answered(from)
			d.endIfConfirmed(now, k, l)
		}
	}
	for _, k := range m.Asked {
		if r, _, known := d.records.find(k); known {
			out := d.messageTo(from)
			out.Records = append(out.Records, r)
			continue
		}
		// A router that has just started and could not restore anything does not know what it lacks.
		if d.complete(now) {
			out := d.messageTo(from)
			out.Unknown = append(out.Unknown, k)
		}
	}
}

// Tick ends lookups that have waited long enough, asks more routers for others, and hands over records. Call it every few
// tens of milliseconds unless the directory is idle.
func (d *Directory) Tick(now time.Time) {
	d.prompt = 0
	d.handOver(now)
	d.repeatCorrections(now)
	for k, l := range d.lookups {
		waited := now.Sub(l.began)
		if l.waits && !now.Before(d.trustedFrom) {
			// Where this router stood still, it may not have known of the others until now.
			l.waits = false
			d.ask(k, l, d.holders(now, k))
			d.endIfConfirmed(now, k, l)
		}
		switch {
		case l.waits && waited < restoreTimeout:
		case waited >= restoreTimeout, waited >= lookupTimeout && d.complete(now):
			d.end(k, Answer{Confirmed: l.unknown && d.complete(now)})
		case waited >= answerTimeout && d.isKnown(k):
			d.end(k, Answer{})
		case waited >= answerTimeout && !l.wider:
			l.wider = true
			d.ask(k, l, d.rank(now, k, 2*copies))
		}
	}
}

// Take returns the messages to send and forgets them.
func (d *Directory) Take() []Outgoing {
	if len(d.outbox) == 0 {
		return nil
	}
	list := make([]Outgoing, 0, len(d.outbox))
	for to, m := range d.outbox {
		list = append(list, Outgoing{To: to, Message: *m})
	}
	clear(d.outbox)
	return list
}

// TakePrompt is like Take, but leaves the messages for the next tick if it has returned some often
// since the last one. Records that wait are lost if the router is killed, and with them the rest of
// streams whose callers already have events.
func (d *Directory) TakePrompt() []Outgoing {
	if len(d.outbox) == 0 || d.prompt >= maxPrompt {
		return nil
	}
	d.prompt++
	return d.Take()
}

// Idle reports whether neither Tick nor Take need to be called.
func (d *Directory) Idle() bool {
	return len(d.outbox) == 0 && len(d.lookups) == 0 && len(d.stored.list) == 0 && len(d.repeats) == 0
}

// endIfConfirmed ends a lookup if all have answered, and no router is left that could still know the stream, this one
// included, if none of them does. One of them may not have been told of a correction.
func (d *Directory) endIfConfirmed(now time.Time, k Key, l *lookup) {
	if len(l.asked) == 0 && !l.waits && (d.isKnown(k) || d.complete(now)) {
		d.end(k, Answer{Confirmed: l.unknown || !d.hadPeers})
	}
}

func (d *Directory) isKnown(k Key) bool {
	_, _, known := d.records.find(k)
	return known
}

// end ends a lookup with what is known of the stream or, if that is nothing, with an answer.
func (d *Directory) end(k Key, a Answer) {
	l := d.lookups[k]
	if l == nil {
		return
	}
	if r, _, known := d.records.find(k); known {
		a = Answer{Version: r.Version, Known: true, Evidence: EvidenceRecord}
	}
	delete(d.lookups, k)
	for _, done := range l.done {
		done(a)
	}
}

// ask asks routers for the version of a stream, again if they have not answered.
func (d *Directory) ask(k Key, l *lookup, list []string) {
	for _, to := range list {
		if !slices.Contains(l.asked, to) {
			l.asked = append(l.asked, to)
		}
		m := d.messageTo(to)
		m.Asked = append(m.Asked, k)
	}
}

func (d *Directory) messageTo(to string) *Message {
	m := d.outbox[to]
	if m == nil {
		m = &Message{}
		d.outbox[to] = m
	}
	return m
}

// rank returns the routers that rank first for a stream.
func (d *Directory) rank(now time.Time, k Key, n int) []string {
	list := d.fleet.Ranked(now, string(binary.BigEndian.AppendUint64(nil, uint64(k))), n)
	d.hadPeers = d.hadPeers || len(list) > 0
	return list
}
