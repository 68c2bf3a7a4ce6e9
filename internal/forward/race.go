package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/heldanswer"
)

// secondInterval is the interval at which another target is looked for while one stays silent.
const secondInterval = 200 * time.Millisecond

// race decides which target goes on with an answer: the current one, which may be silent, or a second one that was
// asked meanwhile, or a further one if that is silent too. The other exchanges are ended only when one has sent what
// the caller lacks. The zero value is ready to use.
type race struct {
	mu sync.Mutex
	// ctx is that of the request, silence the silence after which a second target is asked.
	ctx     context.Context
	silence time.Duration
	timer   *time.Timer
	// due is when the timer is to fire, and late is set if it fired late in the current silence.
	due  time.Time
	late bool
	// hasInput reports whether something has arrived in the current exchange that has not been read, nil if that is not
	// known.
	hasInput func() bool
	// armed is set while the request waits for a target, and stopped once it has ended.
	armed, stopped bool
	// limit is how many second sends the route allows during the current exchange; it may be negative.
	limit int
	// abort ends the current exchange.
	abort context.CancelCauseFunc
	// seconds are the second exchanges in progress, ahead is the one that is ahead of the current one.
	seconds    []*second
	ahead      *second
	goroutines *group.Group
	// sends counts the second sends that are not yet part of the result, mayHaveRun is set if one of them may have
	// run, and tried has the targets that were asked since the current one was silent.
	sends      int
	mayHaveRun bool
	tried      []string
	// kept is the error answer of a second target.
	kept heldanswer.Kept
}

// beginWatch begins to watch the current exchange for silence. sends is the number of sends including the current one.
func (x *inflight) beginWatch(abort context.CancelCauseFunc, sends int) {
	r := &x.race
	r.mu.Lock()
	r.abort, r.limit = abort, x.Route.MaxAttempts-sends
	r.mu.Unlock()
	x.awaitPiece(max(x.Route.Goal*firstEventGoalPercent/100, minSilence))
}

// awaitPiece lets a second target be asked if the current one is silent for a time.
func (x *inflight) awaitPiece(silence time.Duration) {
	if !x.Route.Repeatable() || x.placeUnknown {
		return
	}
	r := &x.race
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sends >= r.limit {
		return
	}
	r.armed, r.silence, r.late = true, silence, false
	if r.timer == nil {
		r.due = clock.Now().Add(silence)
		r.timer = time.AfterFunc(silence, x.startSecond)
		return
	}
	r.reset(silence)
}

// noteSent lets the silence of a target begin, as the request has only now been sent.
func (x *inflight) noteSent(hasInput func() bool) {
	x.ticket.Sent.Store(clock.Since(x.ticket.Arrived).Nanoseconds())
	r := &x.race
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasInput = hasInput
	if r.armed && len(r.seconds) == 0 {
		r.reset(r.silence)
	}
}

// reset makes the timer fire after a time.
func (r *race) reset(d time.Duration) {
	r.due = clock.Now().Add(d)
	r.timer.Reset(d)
}

// maxTimerDelay is how late the timer may fire while this process has processor time.
const maxTimerDelay = 50 * time.Millisecond

// firedLate reports whether the timer fired so late that this process may not have read what the target has sent. It
// does so once in a silence: after secondInterval that has been read.
func (r *race) firedLate() bool {
	if r.late || clock.Since(r.due) < maxTimerDelay {
		return false
	}
	r.late = true
	return true
}

// setInput sets hasInput.
func (r *race) setInput(hasInput func() bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasInput = hasInput
}

// input returns hasInput.
func (r *race) input() func() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasInput
}

// hasUnread reports whether the current target, or the one that was asked last, has sent something that this process,
// which may be short of processor time, has not read. mu must be held.
func (r *race) hasUnread() bool {
	if r.hasInput != nil && r.hasInput() {
		return true
	}
	if n := len(r.seconds); n > 0 {
		hasInput := r.seconds[n-1].race.input()
		return hasInput != nil && hasInput()
	}
	return false
}

// stopWatch ends the watch for silence. A second exchange in progress goes on.
func (x *inflight) stopWatch() {
	x.race.mu.Lock()
	defer x.race.mu.Unlock()
	x.race.disarm()
}

// proceed reports whether the current exchange goes on with the answer, as it has something for the caller and
// no second one is ahead of it. A second one in progress is ended.
func (x *inflight) proceed() bool {
	r := &x.race
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ahead != nil {
		return false
	}
	r.overtake()
	// A target that refused the request or failed at a time when nothing depended on it may be asked later.
	r.tried = nil
	return true
}

// overtake ends the second exchanges in progress, and that further ones are begun.
func (r *race) overtake() {
	r.disarm()
	for _, s := range r.seconds {
		s.cancel(errOvertaken)
	}
	r.seconds = nil
}

func (r *race) disarm() {
	r.armed = false
	if r.timer != nil {
		r.timer.Stop()
	}
}

// overtaken returns the failure of an exchange that a second one is ahead of.
func overtaken() *failure {
	return &failure{reason: ReasonSilent, result: balance.Failed, mayHaveRun: true, cause: errSilent}
}

// startSecond asks a second target, or a further one if the one asked last is silent too.
func (x *inflight) startSecond() {
	r := &x.race
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := func(s *second) bool { return !s.sent }
	if !r.armed || r.stopped || r.ahead != nil || r.sends >= r.limit || slices.ContainsFunc(r.seconds, waiting) {
		return
	}
	if r.firedLate() || r.hasUnread() {
		r.reset(secondInterval)
		return
	}
	if r.goroutines == nil {
		r.goroutines = group.New(context.Background())
	}
	ticket, silent, silence, tried := x.ticket, x.target, r.silence, slices.Clone(r.tried)
	if n := len(r.seconds); n > 0 {
		ticket, silent = r.seconds[n-1].ticket, r.seconds[n-1].target
	}
	s := x.newSecond(r.ctx)
	s.onSend = func(to balance.Target) { r.noteSend(s, to) }
	r.seconds = append(r.seconds, s)
	r.goroutines.Go(func() {
		defer close(s.done)
		f := s.ask(ticket, silent, silence, tried)
		if !x.finishSecond(s, f) {
			s.discard(f)
		}
	})
}

// noteSend notes that a second exchange is about to be sent, and lets a further target be asked if this one is silent
// as well.
func (r *race) noteSend(s *second, to balance.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.sent = true
	r.sends++
	if !slices.Contains(r.seconds, s) {
		return
	}
	r.tried = append(r.tried, to.Incarnation())
	if r.armed {
		r.reset(r.silence)
	}
}

// finishSecond ends the asking of a second target, which failed unless f is nil, and reports whether it goes on with
// the answer: it has what the caller lacks, and no other target has gone on meanwhile.
func (x *inflight) finishSecond(s *second, f *failure) bool {
	r := &x.race
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.sent && s.result.Sends == 0 {
		r.sends--
	}
	if s.result.Sends > 0 && (f == nil || f.mayHaveRun) {
		r.mayHaveRun = true
	}
	i := slices.Index(r.seconds, s)
	if i < 0 {
		if s.result.Sends > 0 {
			x.counters.CountSecond(SecondOvertaken)
			s.logEnd(SecondOvertaken)
		}
		return false
	}
	r.seconds = slices.Delete(r.seconds, i, i+1)
	if f != nil && f.errorAnswer != nil {
		kept := s.held.Keep(f.errorAnswer)
		r.kept.Replace(&kept)
	}
	if f == nil {
		r.ahead = s
		r.overtake()
		r.abort(errSilent)
		x.counters.CountSecond(SecondTookOver)
		s.logEnd(SecondTookOver)
		return true
	}
	switch {
	case s.sent:
		x.counters.CountSecond(SecondFailed)
		s.logEnd(SecondFailed)
	case !errors.Is(f.cause, errNoSecond):
		x.counters.CountSecond(SecondNotPlaced)
	case f.reason == ReasonNoTarget:
		x.counters.CountSecond(SecondNoTarget)
	case f.reason == Reason(balance.BudgetSpent):
		x.counters.CountSecond(SecondNoBudget)
	}
	if r.armed && r.sends < r.limit {
		r.reset(secondInterval)
	}
	return false
}

// awaitSecond returns the second exchange that goes on with the answer after the current one has failed, nil if
// there is none. It waits for those in progress, while further ones may begin.
func (x *inflight) awaitSecond() *second {
	for {
		next, ahead := x.nextSecond()
		if next == nil {
			return nil
		}
		<-next.done
		if ahead {
			return next
		}
	}
}

// nextSecond returns the second exchange that is ahead of the current one, or else one that is in progress, if any.
func (x *inflight) nextSecond() (next *second, ahead bool) {
	r := &x.race
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s := r.ahead; {
	case s != nil:
		r.ahead = nil
		return s, true
	case len(r.seconds) == 0:
		r.disarm()
		return nil, false
	case !r.armed:
		r.armed = true
		r.reset(r.silence)
	}
	return r.seconds[0], false
}

// addSeconds adds the second sends so far, and the error answer that one of them got, to the result and to the
// request's state.
func (x *inflight) addSeconds() {
	r := &x.race
	r.mu.Lock()
	defer r.mu.Unlock()
	x.result.Sends += r.sends
	x.mayHaveRun = x.mayHaveRun || r.mayHaveRun
	r.sends, r.mayHaveRun = 0, false
	if r.kept.Answer() != nil && !x.result.HeadSent {
		x.kept.Replace(&r.kept)
	}
	r.kept.Release()
}

// triedSeconds returns the incarnations of the targets that were asked second since the current one was silent.
func (x *inflight) triedSeconds() []string {
	x.race.mu.Lock()
	defer x.race.mu.Unlock()
	return slices.Clone(x.race.tried)
}

// stopSeconds ends the asking of second targets and waits for it.
func (x *inflight) stopSeconds() {
	r := &x.race
	r.mu.Lock()
	r.stopped = true
	r.overtake()
	goroutines := r.goroutines
	r.mu.Unlock()
	if goroutines != nil {
		goroutines.Stop()
	}
	if r.ahead != nil {
		// The request's own goroutine has panicked.
		r.ahead.discard(nil)
		r.ahead = nil
	}
	x.addSeconds()
}
