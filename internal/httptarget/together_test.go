package httptarget_test

import (
	"context"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// besideEnds is an answer without a length that ends near other connections to its target.
type besideEnds struct {
	// others are the answers on the other connections, of which the empty ones are read to their end, and ends what
	// becomes of those connections, nil for nothing, after they have been unused for a time. The answer ends another
	// time later.
	others         []string
	ends           []func(*net.TCPConn)
	unused, before time.Duration
	// spare is what becomes of the question for a spare connection, nil if it is answered, and asked is set if the target
	// is asked again before the ends.
	spare func(*target, context.Context) error
	asked bool
	// lastEndsAfter is set if the last of the others ends shortly after the answer.
	lastEndsAfter, complete bool
}

const (
	// shortly is longer than the steps in which the kernel counts time. What began or ended before an end counts so only
	// if it did that by more than these.
	shortly = 25 * time.Millisecond
	// atOnce is how long it may take to end connections together, as the kernel does for a process that is killed, and
	// endTries bounds the attempts to do that on a busy machine.
	atOnce, endTries = 2 * time.Millisecond, 100
)

// TestWholeAnswerBesideOtherEnds guards against an answer without a length that is taken for cut because of the ends of
// other connections to its target that do not tell of the end of its process, and against one that looks complete
// beside those that do.
func TestWholeAnswerBesideOtherEnds(t *testing.T) {
	const (
		empty     = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"
		last      = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\npart"
		part      = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\npart"
		wellApart = 200 * time.Millisecond
	)
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	closed := func(c *net.TCPConn) { _ = c.Close() }
	failed := func(*target, context.Context) error { return errors.New("not asked") }
	silent := func(g *target, ctx context.Context) error { return g.ask(ctx, silentPath, true) }
	for name, c := range map[string]besideEnds{
		"no other connection":                          {complete: true},
		"an unused one goes on":                        {others: []string{empty, part}, ends: []func(*net.TCPConn){nil, closed}, complete: true},
		"an unused one that was asked goes on":         {others: []string{empty, part}, ends: []func(*net.TCPConn){nil, closed}, spare: failed, asked: true, complete: true},
		"one in use goes on":                           {others: []string{empty, part}, ends: []func(*net.TCPConn){closed, nil}, complete: true},
		"an unused one ended long before":              {others: []string{empty}, ends: []func(*net.TCPConn){closed}, before: wellApart, complete: true},
		"the target closed it as it had foretold":      {others: []string{keptSoon}, ends: []func(*net.TCPConn){closed}, unused: 800 * time.Millisecond, complete: true},
		"the same, it was asked":                       {others: []string{keptSoon}, ends: []func(*net.TCPConn){closed}, asked: true, unused: 800 * time.Millisecond, complete: true},
		"another answer without a length ended before": {others: []string{unframedBegin}, ends: []func(*net.TCPConn){closed}, before: wellApart, complete: true},
		"another one ends, and one goes on":            {others: []string{unframedBegin, part}, ends: []func(*net.TCPConn){closed, nil}, unused: shortly, complete: true},
		"another one ends, and an unused one goes on":  {others: []string{unframedBegin, empty}, ends: []func(*net.TCPConn){closed, nil}, unused: shortly},
		"the same, the unused one was asked":           {others: []string{unframedBegin, empty}, ends: []func(*net.TCPConn){closed, nil}, asked: true, unused: shortly},
		"another one ends, and a question goes on":     {others: []string{unframedBegin}, ends: []func(*net.TCPConn){closed}, spare: silent, unused: shortly},
		"another one ends, and one shortly after":      {others: []string{unframedBegin, unframedBegin}, ends: []func(*net.TCPConn){closed, nil}, unused: wellApart, lastEndsAfter: true, complete: true},
		"another answer without a length ends":         {others: []string{unframedBegin}, ends: []func(*net.TCPConn){closed}},
		"two others without a length end":              {others: []string{unframedBegin, unframedBegin}, ends: []func(*net.TCPConn){closed, closed}},
		"one ends after its last answer":               {others: []string{last}, ends: []func(*net.TCPConn){closed}, complete: true},
		"an unused one is reset":                       {others: []string{empty}, ends: []func(*net.TCPConn){reset}, complete: true},
		"an unused one ends":                           {others: []string{empty}, ends: []func(*net.TCPConn){closed}},
		"an unused one that was asked ends":            {others: []string{empty}, ends: []func(*net.TCPConn){closed}, spare: failed, asked: true},
		"an unused one ends, and a question goes on":   {others: []string{empty}, ends: []func(*net.TCPConn){closed}, spare: silent, unused: shortly},
		"another answer breaks off":                    {others: []string{part}, ends: []func(*net.TCPConn){closed}},
		"one waits for its answer":                     {others: []string{noAnswer}, ends: []func(*net.TCPConn){closed}},
		"all end, used or not":                         {others: []string{empty, part, unframedBegin}, ends: []func(*net.TCPConn){closed, closed, closed}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range endTries {
				took, text, err := c.play(t)
				if !c.complete && took > atOnce {
					// They have not ended together, whatever came of it.
					continue
				}
				if c.complete != (err == nil) || text != "begin" {
					t.Errorf("read %q, %v; complete: want %v", text, err, c.complete)
				}
				return
			}
			t.Errorf("the connections could not be ended within %v", atOnce)
		})
	}
}

// noAnswer stands for a request that is not answered.
const noAnswer = ""

// send sends a request, which gets an answer.
func (g *target) send(t *testing.T, answer string) (*httptarget.Answer, *net.TCPConn) {
	t.Helper()
	if answer != noAnswer {
		return g.exchange(t, answer)
	}
	g.Go(func() {
		if a, err := g.Send(t.Context(), g.address(), request("a", "")); err == nil {
			a.Close()
		}
	})
	return nil, <-g.conns
}

// play returns how long it took to end the connections, and what was read of the answer.
func (c besideEnds) play(t *testing.T) (took time.Duration, text string, err error) {
	t.Helper()
	g := startTarget(t, math.MaxInt)
	g.onSpare = c.spare
	a, ended := g.send(t, unframedBegin)
	defer a.Close()
	var used []*httptarget.Answer
	var others []*net.TCPConn
	for _, answer := range c.others {
		other, target := g.send(t, answer)
		defer target.Close()
		others = append(others, target)
		if other != nil {
			used = append(used, other)
		}
	}
	for _, other := range used {
		if other.Length() == 0 {
			_, _ = io.ReadAll(other)
			other.Close()
			continue
		}
		defer other.Close()
	}
	if c.asked {
		if err := g.witness(t.Context(), time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(c.unused)
	began := time.Now()
	for i, end := range c.ends {
		if end != nil {
			end(others[i])
		}
	}
	time.Sleep(c.before)
	_ = ended.Close()
	took = time.Since(began)
	if c.lastEndsAfter {
		time.Sleep(shortly)
		_ = others[len(others)-1].Close()
	}
	read, err := io.ReadAll(a)
	return took, string(read), err
}
