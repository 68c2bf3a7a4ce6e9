package router

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/adapter/peer"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/control"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/request"
)

// maxQueuedEvents is the maximum number of events queued for the control loop.
const maxQueuedEvents = 4096

// event is a function that the control loop runs on the control state.
type event func(s *control.State, now time.Time)

// loop is the control loop: one goroutine, in run, that owns the control state.
type loop struct {
	events chan event
	done   <-chan struct{}
}

func newLoop(g *group.Group) *loop {
	return &loop{events: make(chan event, maxQueuedEvents), done: g.Context().Done()}
}

// post queues an event, waiting while the queue is full. After the loop has ended it does
// nothing.
func (l *loop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// call queues an event and waits for its result. It returns the zero value if the loop is told to end
// before; the event may then still be running.
func call[T any](l *loop, f func(s *control.State, now time.Time) T) T {
	result := make(chan T, 1)
	l.post(func(s *control.State, now time.Time) { result <- f(s, now) })
	select {
	case v := <-result:
		return v
	case <-l.done:
		var none T
		return none
	}
}

// run handles events and calls Tick once a period until ctx ends.
func (l *loop) run(ctx context.Context, s *control.State, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-l.events:
			e(s, clock.Now())
		case <-ticker.C:
			s.Tick(clock.Now())
		}
	}
}

// delivery passes the control state's decisions to the waiting requests and its messages to
// other routers.
type delivery struct{ peers *peer.Transport }

func (delivery) Decide(t *request.Ticket, d request.Decision) { t.Decision <- d }

func (o delivery) Send(to member.Member, m message.Message) { o.peers.Send(to, m) }

// controlLoop gives the handler of callers' requests access to the control loop.
type controlLoop struct{ router *Router }

func (c controlLoop) Submit(t *request.Ticket) {
	c.router.loop.post(func(s *control.State, now time.Time) { s.Arrive(t, now) })
}

func (c controlLoop) Cancel(t *request.Ticket, reason request.Reason) {
	c.router.loop.post(func(s *control.State, _ time.Time) { s.Cancel(t, reason) })
}

func (c controlLoop) Retry(t *request.Ticket) {
	c.router.loop.post(func(s *control.State, now time.Time) { s.Retry(t, now) })
}

func (c controlLoop) Finish(t *request.Ticket, end request.RunEnd) {
	c.router.loop.post(func(s *control.State, now time.Time) { s.Finish(t, end, now) })
}

func (c controlLoop) Snapshot() config.Snapshot {
	if s := c.router.snapshot.Load(); s != nil {
		return *s
	}
	return config.Snapshot{}
}

func (c controlLoop) Members() []member.Member {
	return call(c.router.loop, func(s *control.State, now time.Time) []member.Member { return s.LiveRouters(now) })
}

func (c controlLoop) Lookup(router string) (member.Member, bool) {
	found := call(c.router.loop, func(s *control.State, now time.Time) *member.Member {
		if m, ok := s.Lookup(message.RouterID(router), now); ok {
			return &m
		}
		return nil
	})
	if found == nil {
		return member.Member{}, false
	}
	return *found, true
}
