package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
)

// sendDelay is how long requests take to arrive at a target behind a slow link.
const sendDelay = 350 * time.Millisecond

// slowLink returns the address of a link to a target on which requests take sendDelay, and answers no time.
func slowLink(t *testing.T, address string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := group.New(context.Background())
	t.Cleanup(g.Stop)
	context.AfterFunc(t.Context(), func() { l.Close() })
	pass := func(from net.Conn) {
		defer from.Close()
		to, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer to.Close()
		context.AfterFunc(t.Context(), func() { from.Close(); to.Close() })
		g.Go(func() {
			_, _ = io.Copy(from, to)
			from.Close()
		})
		time.Sleep(sendDelay)
		_, _ = io.Copy(to, from)
	}
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() { pass(c) })
		}
	})
	return l.Addr().String()
}

// TestAnswerThatBeginsAsItsTargetCountsAsSilent guards against answers that are cut if they begin as their target counts
// as silent, since the request was slow to arrive there.
func TestAnswerThatBeginsAsItsTargetCountsAsSilent(t *testing.T) {
	const requests, spread = 120, 40
	bound := 600*time.Millisecond - sendDelay
	begins := func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.Header.Get("X-Id")[1:])
		time.Sleep(bound + time.Duration(n%spread-spread*3/4)*time.Millisecond)
		streamWithSilence(-1, 0)(w, r)
	}
	f := silentFirst(t, begins, refuse)
	f.targets = f.slots(requests)
	f.targets[0].Address = slowLink(t, f.targets[0].Address)
	f.setTargets(t, f.onlyFirst()...)
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			got, result := f.ask(t.Context(), silentRoute, 5*time.Second)
			if want := eventsFrom(0, silentEvents); got != want || result.Truncated || result.Status != http.StatusOK {
				t.Errorf("the caller got %q, want %q; %+v", got, want, result)
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	f.setTargets(t, f.targets...)
	callers.Wait()
}

// TestOwnDelayIsNotSilenceOfTarget guards against requests that are sent twice since this router took its time to send
// them, and against those that wait for good for a target that they cannot be sent to.
func TestOwnDelayIsNotSilenceOfTarget(t *testing.T) {
	const delay = 450 * time.Millisecond
	cases := map[string]struct {
		delay time.Duration
		first http.HandlerFunc
		sends int
		limit time.Duration
	}{
		"sent late":                 {delay, streamWithSilence(0, delay), 1, 2 * delay},
		"sent late to a silent one": {delay, hangs, 2, delay + 600*time.Millisecond},
		"not sent to the first one": {time.Hour, hangs, 1, 600 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := silentFirst(t, c.first, streamTo(silentEvents, complete))
			f.sendDelay.Store(int64(c.delay))
			f.setTargets(t, f.onlyFirst()...)
			time.AfterFunc(50*time.Millisecond, func() { f.setTargets(t, f.targets...) })
			began := time.Now()
			got, result := f.ask(t.Context(), silentRoute, 5*time.Second)
			if want := eventsFrom(0, silentEvents); got != want || result.Sends != c.sends {
				t.Errorf("the caller got %q with %d sends, want %q with %d", got, result.Sends, want, c.sends)
			}
			if took := time.Since(began); took > c.limit+500*time.Millisecond {
				t.Errorf("the request took %v", took)
			}
		})
	}
}
