package roster_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// maxProcessingDelay is the maximum delay with which a busy box processes a message.
const maxProcessingDelay = 200 * time.Millisecond

// quarantineFleet simulates how the routers of a fleet exchange what they know of requests
// that crash targets. As in the product, a router whose ping shows a different digest requests
// all records.
type quarantineFleet struct {
	*fleet
	states    []*quarantine.State
	exchanges []*quarantine.Exchange
	index     map[*router]int
	// messages and bytes count what is sent, received counts the records received.
	messages, bytes, received int
}

func newQuarantineFleet(f *fleet) *quarantineFleet {
	s := &quarantineFleet{fleet: f, index: map[*router]int{}}
	for i, r := range f.routers {
		state := quarantine.New()
		s.states = append(s.states, state)
		s.exchanges = append(s.exchanges, quarantine.NewExchange(state, r))
		s.index[r] = i
		s.ping(r)
		s.tick(r)
	}
	return s
}

// sendFound forwards the records that are new at a router.
func (s *quarantineFleet) sendFound(r *router) {
	_, outgoing := s.exchanges[s.index[r]].Updates(s.time())
	s.sendOutgoing(r, outgoing)
}

func (s *quarantineFleet) sendOutgoing(r *router, outgoing []quarantine.Outgoing) {
	for _, p := range outgoing {
		s.sendRecords(r, s.byPeer[p.To], p.Records)
	}
}

const (
	// maxRecordsPerMessage bounds the records in a message. messageBytes, recordBytes and
	// crashBytes are the assumed sizes of a message without records, of a record without
	// crashes and of a crash.
	maxRecordsPerMessage                  = 12
	messageBytes, recordBytes, crashBytes = 60, 50, 25
)

// sendRecords sends records to a router, unless they are lost.
func (s *quarantineFleet) sendRecords(from, to *router, list []quarantine.Record) {
	for part := range slices.Chunk(list, maxRecordsPerMessage) {
		s.messages++
		s.bytes += messageBytes
		for _, r := range part {
			s.bytes += recordBytes + crashBytes*len(r.Crashes)
		}
		if s.random.Float64() < s.loss || s.cut(from, to) {
			continue
		}
		delay := minLatency + time.Duration(s.random.Int64N(int64(maxProcessingDelay)))
		s.after(delay, func() {
			s.received += len(part)
			_, outgoing := s.exchanges[s.index[to]].Receive(s.time(), part)
			s.sendOutgoing(to, outgoing)
		})
	}
}

// ping compares the digest of a router with that of a random one, four times a second.
func (s *quarantineFleet) ping(r *router) {
	other := s.routers[s.random.IntN(len(s.routers))]
	if s.exchanges[s.index[r]].ShouldPull(s.time(), s.states[s.index[other]].Digest()) {
		s.sendRecords(other, r, s.exchanges[s.index[other]].All(s.time()))
	}
	s.after(250*time.Millisecond, func() { s.ping(r) })
}

// tick sends what is due at a router in regular intervals, as the product does.
func (s *quarantineFleet) tick(r *router) {
	s.sendFound(r)
	s.after(50*time.Millisecond, func() { s.tick(r) })
}

// countKnowing returns the number of routers that know of at least the given number of crashes under
// a request.
func (s *quarantineFleet) countKnowing(k quarantine.Key, crashes int) int {
	n := 0
	for _, state := range s.states {
		if state.View().Crashes(k) >= crashes {
			n++
		}
	}
	return n
}

var _ = Describe("Updates about requests that crash targets", func() {
	// All routers must know of the third crash within three seconds.
	DescribeTable(
		"reach all routers in time, whichever router sees which crash", func(n int, loss float64) {
			f := newFleet(n, 8)
			f.launch(1, f.routers...)
			f.run(5 * time.Second)
			f.loss = loss
			s := newQuarantineFleet(f)
			k := quarantine.KeyOf("o", "POST", "/x", nil)
			for end := range 3 {
				r := f.routers[f.random.IntN(n)]
				state := s.states[s.index[r]]
				state.RecordBreak(f.time(), k, "o", fmt.Sprint("t", end), false)
				state.RecordExit(f.time(), fmt.Sprint("t", end))
				s.sendFound(r)
				f.run(50 * time.Millisecond)
			}
			began := f.now
			for f.now-began < 10*time.Second && s.countKnowing(k, 3) < n {
				f.run(50 * time.Millisecond)
			}
			GinkgoWriter.Printf("%d routers, %.0f%% of messages lost: all informed after %v\n", n, 100*loss, f.now-began)
			Expect(f.now - began).To(BeNumerically("<", 3*time.Second))
		},
		Entry("8", 8, 0.0), Entry("85", 85, 0.0), Entry("295", 295, 0.0), Entry("295, a fifth lost", 295, 0.2),
	)
})
