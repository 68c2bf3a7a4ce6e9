package handover

import (
	"context"
	"expvar"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// acceptTimeout bounds the time to wait for another router's byte, dialTimeout that to connect to
	// it before. Routers of a zone are about a millisecond apart; the caller waits meanwhile. The second
	// one is longer, since a router without CPU time notices late that it is connected.
	acceptTimeout = 50 * time.Millisecond
	dialTimeout   = 2 * acceptTimeout
	// delayedPercent is the percentage of a time-out from which its end shows that this process had
	// no CPU time.
	delayedPercent = 150
	// maxOffers is the number of routers to which a connection is offered. A router that declines
	// does so within a round trip, so that the caller can afford a second one.
	maxOffers = 2
	// unackedTimeout is the time after which the kernel closes a connection to another router whose
	// data is not acknowledged. The kernel counts the time of a full receive window too (tcp(7)), so
	// it is that for which a caller may stop reading an answer: with 1.5 s, answers to slow callers
	// were cut. keepAliveIdle and keepAliveInterval make the kernel notice a silent link while an
	// answer is awaited; with a user timeout set, that decides when the connection is closed.
	unackedTimeout    = 15 * time.Second
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	// measureInterval is the time over which the CPU utilisation is measured, and maxMeasureInterval
	// the longest one that still says something about the present load.
	measureInterval    = 100 * time.Millisecond
	maxMeasureInterval = time.Second
	// logInterval is the least time between two log lines, maxLoggedRouters the most routers that
	// one names.
	logInterval      = time.Second
	maxLoggedRouters = 8
	// spacingFrom and spacingTo are the CPU utilisations at which pieces of answers begin to be
	// delayed, and at which they are delayed by maxSpacing.
	spacingFrom, spacingTo = handOverAbove, 0.9
)

// QuietTime is the time after a piece of an answer after which a relayed connection counts as one
// without a request. A relay knows no ends of answers; with 3 s, streams that pause were cut.
const QuietTime = 15 * time.Second

const (
	// makeRoomFrom is the percentage of the allowed relays from which quiet ones are closed, and
	// makeRoomInterval the least time between two looks at all relays.
	makeRoomFrom     = 90
	makeRoomInterval = 100 * time.Millisecond
)

// accepted is the byte that a router sends for a connection that it accepts.
const accepted = 1

// ErrDeclined means that another router did not accept a connection.
var ErrDeclined = errors.New("connection declined")

// ErrDelayed means that a time-out ended so late that it says nothing about the other router.
var ErrDelayed = errors.New("own CPU time missing")

// Stats counts connections that were handed over or received since the start.
type Stats struct {
	// Sent counts the offers to other routers. Each one is Accepted, Declined, or Failed if the
	// other router cannot be reached or is silent.
	Sent     int64 `json:"sent"`
	Accepted int64 `json:"accepted"`
	Declined int64 `json:"declined"`
	Failed   int64 `json:"failed"`
	// Open is the number of connections being relayed.
	Open int64 `json:"open"`
	// Returned counts the connections that no other router accepted, and Unanswered the relays that
	// ended with nothing written to the caller since its last bytes.
	Returned   int64 `json:"returned"`
	Unanswered int64 `json:"unanswered"`
	// Received and ReceivedDeclined count the connections that other routers offered and this one
	// accepted, or declined for a reason.
	Received         int64             `json:"received"`
	ReceivedDeclined map[Decline]int64 `json:"received_declined"`
	// Bytes counts the bytes of relays that have ended, in both directions.
	Bytes int64 `json:"bytes"`
}

// Sender hands connections over to other routers. Use NewSender to create one. It is safe for
// concurrent use.
type Sender struct {
	group      *group.Group
	log        logr.Logger
	meter      *meter
	dialer     net.Dialer
	candidates atomic.Pointer[[]Candidate]
	// yielding holds the organisations that must let others go first.
	yielding atomic.Pointer[map[string]bool]
	// spaces is set if callers accept that events come together.
	spaces atomic.Bool

	mu       sync.Mutex
	selector *Selector
	relays   map[*relay]struct{}
	// maxRelays is Limits.Relays, madeRoomAt the last time at which makeRoom looked at all relays.
	maxRelays  int
	madeRoomAt time.Time

	sent, accepted, declined, failed, open, bytes expvar.Int
	returned, unanswered                          expvar.Int
	// longestOffer is the longest time that the offers of one connection took, and longestAnswer that
	// from a caller's last bytes to an answer or to the end of the relay, both in nanoseconds and since
	// the last log line.
	longestOffer, longestAnswer atomic.Int64
	// loggedAt is the time of the last log line, in nanoseconds since began, and loggedSent what
	// had been counted in sent.
	began      time.Time
	loggedAt   atomic.Int64
	loggedSent atomic.Int64
}

// NewSender returns a sender that hands nothing over until it has candidates. It runs its goroutines
// in g. cpuTime returns the CPU time used since the start, utilisation the CPU utilisation as measured
// by the control loop.
func NewSender(g *group.Group, limits Limits, cores float64, cpuTime func() time.Duration, utilisation func() float64, log logr.Logger) *Sender {
	s := &Sender{
		group: g, log: log, meter: &meter{cores: cores, cpuTime: cpuTime, control: utilisation},
		selector: New(limits), relays: map[*relay]struct{}{}, maxRelays: limits.Relays, began: clock.Now(),
		dialer: net.Dialer{
			Timeout: dialTimeout, Control: sockopt.UserTimeout(unackedTimeout),
			KeepAliveConfig: keepAlive,
		},
	}
	s.loggedAt.Store(-int64(logInterval))
	return s
}

// keepAlive makes the kernel notice a link that has gone silent. With a user timeout set, that and
// not the count decides when the connection is closed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 3}

// SetCandidates replaces the routers to which connections may be handed over.
func (s *Sender) SetCandidates(list []Candidate) {
	s.candidates.Store(&list)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.Retain(list)
}

// SetSpacing sets whether callers accept that events come together while the router is short of CPU
// time.
func (s *Sender) SetSpacing(accepted bool) { s.spaces.Store(accepted) }

// current returns the routers to which connections may be handed over.
func (s *Sender) current() []Candidate {
	if list := s.candidates.Load(); list != nil {
		return *list
	}
	return nil
}

// Wanted reports whether the next new connection may be handed over.
func (s *Sender) Wanted() bool {
	if len(s.current()) == 0 {
		return false
	}
	now := clock.Now()
	utilisation := s.meter.utilisation(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.SetLoad(now, utilisation)
	if s.selector.Part() > 0 {
		s.makeRoom(now)
	}
	return s.selector.Wanted()
}

// Active reports whether part of the new connections is handed over.
func (s *Sender) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selector.Part() > 0
}

// makeRoom closes some relays on which nothing happens, when most of those that are allowed are
// open: callers keep connections open for up to a minute after their last request. mu must be held.
func (s *Sender) makeRoom(now time.Time) {
	if s.selector.Open() < s.maxRelays*makeRoomFrom/100 || now.Sub(s.madeRoomAt) < makeRoomInterval {
		return
	}
	s.madeRoomAt = now
	s.closeQuiet(QuietTime, max(s.maxRelays*(100-makeRoomFrom)/100, 1))
}

// Take decides whether to hand over a new connection. It returns false if the connection is to be
// served here. Otherwise it returns at once; its ServeLocally is called in another goroutine if no other
// router accepts it, or if its organisation must let others go first or stays unknown.
func (s *Sender) Take(a Arrival) bool {
	organisation, identified := a.Organisation()
	if identified && !s.mayHandOver(organisation) || !s.Wanted() {
		return false
	}
	s.mu.Lock()
	to, ok := s.selector.Choose(clock.Now(), s.current(), rand.IntN)
	s.mu.Unlock()
	if !ok {
		return false
	}
	caller, err := a.Open()
	if err != nil {
		s.note(func() { s.selector.Cancelled(to.ID) })
		s.log.V(1).Info("accepted connection lost", "cause", err.Error())
		return true
	}
	s.group.GoContext(func(ctx context.Context) {
		if !identified {
			if organisation, ok := a.AwaitOrganisation(); !ok || !s.mayHandOver(organisation) {
				s.note(func() { s.selector.Cancelled(to.ID) })
				a.ServeLocally()
				return
			}
		}
		s.handOver(ctx, caller, a, to)
	})
	return true
}

// handOver offers a connection to other routers and relays it, or has it served here if none accepts.
func (s *Sender) handOver(ctx context.Context, caller net.Conn, a Arrival, to Candidate) {
	began := clock.Now()
	peer, id, ok := s.offer(ctx, to)
	storeMax(&s.longestOffer, clock.Since(began))
	if !ok {
		s.returned.Add(1)
		a.ServeLocally()
		return
	}
	s.relay(ctx, caller, peer, id, a.ReadAhead())
}

// offer offers a connection to a router and, if that declines, to another one. It returns the
// connection to the router that accepted.
func (s *Sender) offer(ctx context.Context, to Candidate) (net.Conn, message.RouterID, bool) {
	began := clock.Now()
	for attempt := 1; ; attempt++ {
		s.sent.Add(1)
		peer, err := s.connect(ctx, to.Address)
		if err == nil {
			s.accepted.Add(1)
			s.note(func() { s.selector.Accepted(to.ID) })
			return peer, to.ID, true
		}
		if ctx.Err() != nil {
			s.note(func() { s.selector.Cancelled(to.ID) })
			return nil, "", false
		}
		wasDeclined := errors.Is(err, ErrDeclined)
		if wasDeclined {
			s.declined.Add(1)
		} else {
			s.failed.Add(1)
			s.log.V(1).Info("connection not handed over", "to", to.ID, "cause", err.Error())
		}
		now, again := clock.Now(), false
		s.note(func() {
			if errors.Is(err, ErrDelayed) {
				s.selector.Cancelled(to.ID)
				return
			}
			s.selector.Declined(now, to.ID)
			if wasDeclined && attempt < maxOffers && now.Sub(began) < acceptTimeout {
				to, again = s.selector.ChooseAgain(now, s.current(), rand.IntN)
			}
		})
		s.logCounts(now)
		if !again {
			return nil, "", false
		}
	}
}

// note calls f while the selector may be used.
func (s *Sender) note(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// connect connects to another router and waits until it accepts. It returns ErrDeclined if that
// closes the connection instead.
func (s *Sender) connect(ctx context.Context, address string) (net.Conn, error) {
	began := clock.Now()
	peer, err := s.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, timeoutError(errors.Wrap(err, "connect"), began, dialTimeout)
	}
	began = clock.Now()
	if err := awaitAccepted(peer); err != nil {
		_ = peer.Close()
		return nil, timeoutError(err, began, acceptTimeout)
	}
	return peer, nil
}

// timeoutError returns ErrDelayed for a time-out that ended well after its limit, and err otherwise.
func timeoutError(err error, began time.Time, limit time.Duration) error {
	if took := clock.Since(began); isTimeout(err) && took > limit*delayedPercent/100 {
		return errors.Wrapf(ErrDelayed, "%v after %v", err, took)
	}
	return err
}

// awaitAccepted waits for the byte with which another router accepts a connection.
func awaitAccepted(peer net.Conn) error {
	if err := peer.SetReadDeadline(clock.Deadline(acceptTimeout)); err != nil {
		return errors.Wrap(err, "wait for answer")
	}
	var answer [1]byte
	n, err := peer.Read(answer[:])
	if isTimeout(err) {
		// The byte may have arrived in time while this process had no CPU time.
		n = sockopt.ReadNow(peer, answer[:])
	}
	switch {
	case n == 1 && answer[0] == accepted:
		return nil
	case errors.Is(err, io.EOF):
		return ErrDeclined
	case n == 0:
		return errors.Wrap(err, "wait for answer")
	}
	return errors.Errorf("unexpected answer %d", answer[0])
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// relay copies bytes until the connection ends. ahead holds those that have been read from the caller.
func (s *Sender) relay(ctx context.Context, caller, peer net.Conn, id message.RouterID, ahead []byte) {
	r := newRelay(caller, peer, s.spacing)
	r.ahead = ahead
	r.observe = func(d time.Duration) { storeMax(&s.longestAnswer, d) }
	s.open.Add(1)
	s.note(func() { s.relays[r] = struct{}{} })
	s.logCounts(clock.Now())
	result, err := r.run(ctx, s.group.Go)
	if r.unanswered() {
		s.unanswered.Add(1)
		r.observe(r.quietFor())
	}
	s.open.Add(-1)
	s.bytes.Add(result.FromCaller + result.ToCaller)
	s.note(func() {
		delete(s.relays, r)
		s.selector.Closed(id)
	})
	if err != nil {
		s.log.V(1).Info("handed-over connection ended early", "to", id, "cause", err.Error())
	}
}

// storeMax sets v to d if that is greater.
func storeMax(v *atomic.Int64, d time.Duration) {
	for {
		old := v.Load()
		if int64(d) <= old || v.CompareAndSwap(old, int64(d)) {
			return
		}
	}
}

// spacing returns how long a piece of an answer may wait for the next one.
func (s *Sender) spacing() time.Duration {
	if !s.spaces.Load() {
		return 0
	}
	level := (s.meter.utilisation(clock.Now()) - spacingFrom) / (spacingTo - spacingFrom)
	return time.Duration(min(max(level, 0), 1) * float64(maxSpacing))
}

// Open returns the number of connections being relayed.
func (s *Sender) Open() int64 { return s.open.Value() }

// CloseQuiet begins to close the relays on which nothing has arrived for d since the last piece of an
// answer: their callers keep connections open without a request. Those on which bytes arrive meanwhile
// stay open. It returns the number of relays that it began to close.
func (s *Sender) CloseQuiet(d time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeQuiet(d, len(s.relays))
}

// closeQuiet is CloseQuiet for at most some relays. mu must be held.
func (s *Sender) closeQuiet(d time.Duration, most int) int {
	n := 0
	for r := range s.relays {
		if n < most && !r.finishing.Load() && r.betweenRequests(d) {
			r.finish()
			n++
		}
	}
	return n
}

// Stats returns the counts since the start.
func (s *Sender) Stats() Stats {
	return Stats{
		Sent: s.sent.Value(), Accepted: s.accepted.Value(), Declined: s.declined.Value(), Failed: s.failed.Value(),
		Open: s.open.Value(), Returned: s.returned.Value(), Unanswered: s.unanswered.Value(), Bytes: s.bytes.Value(),
	}
}

// logCounts logs the counts, at most once a second.
func (s *Sender) logCounts(now time.Time) {
	at, last := int64(now.Sub(s.began)), s.loggedAt.Load()
	if at-last < int64(logInterval) || !s.loggedAt.CompareAndSwap(last, at) {
		return
	}
	count := s.sent.Value()
	var backedOff int
	var part float64
	var to map[message.RouterID]int
	s.note(func() {
		backedOff, part, to = s.selector.BackedOff(now), s.selector.Part(), s.selector.OpenAt(maxLoggedRouters)
	})
	s.log.Info("connections handed over", "offered", count-s.loggedSent.Swap(count), "accepted_total", s.accepted.Value(),
		"declined_total", s.declined.Value(), "failed_total", s.failed.Value(), "open", s.open.Value(),
		"returned_total", s.returned.Value(), "unanswered_total", s.unanswered.Value(),
		"offer_ms", time.Duration(s.longestOffer.Swap(0)).Milliseconds(), "answer_ms", time.Duration(s.longestAnswer.Swap(0)).Milliseconds(),
		"to", to, "part", part, "candidates", len(s.current()), "backed_off", backedOff, "busy", s.meter.utilisation(now))
}

// meter measures the CPU utilisation when it is asked. The control loop measures only once a second
// while the router serves no requests itself, and a relay is not a request.
type meter struct {
	cores   float64
	cpuTime func() time.Duration
	// control returns the utilisation that the control loop measured.
	control func() float64

	// latest holds the bits of the last measurement.
	latest     atomic.Uint64
	mu         sync.Mutex
	measuredAt time.Time
	used       time.Duration
	// nextAt is when the next measurement is due, in nanoseconds since start, so that most calls
	// take no lock.
	start  atomic.Pointer[time.Time]
	nextAt atomic.Int64
}

// utilisation returns the fraction of its cores that the process used lately.
func (m *meter) utilisation(now time.Time) float64 {
	start := m.start.Load()
	if start != nil && int64(now.Sub(*start)) < m.nextAt.Load() || !m.mu.TryLock() {
		return math.Float64frombits(m.latest.Load())
	}
	defer m.mu.Unlock()
	used, passed := m.cpuTime(), now.Sub(m.measuredAt)
	// The control loop also notices when the process has to wait for CPU time that it is not
	// charged for.
	value := m.control()
	if start == nil {
		m.start.Store(&now)
		start = &now
	} else if passed <= maxMeasureInterval && m.cores > 0 && passed > 0 {
		value = max(value, (used-m.used).Seconds()/(passed.Seconds()*m.cores))
	}
	m.measuredAt, m.used = now, used
	m.latest.Store(math.Float64bits(value))
	m.nextAt.Store(int64(now.Sub(*start) + measureInterval))
	return value
}
