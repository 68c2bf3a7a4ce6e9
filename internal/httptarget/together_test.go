package httptarget_test

import (
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestWholeAnswerBesideOtherEnds guards against an answer without a length that is taken for cut because of the ends of
// other connections to its target that do not tell of the end of its process, and against one that looks complete
// beside those that do.
func TestWholeAnswerBesideOtherEnds(t *testing.T) {
	const (
		empty     = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n"
		last      = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\npart"
		part      = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\npart"
		noAnswer  = ""
		wellApart = 200 * time.Millisecond
		shortly   = 25 * time.Millisecond
	)
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	closed := func(c *net.TCPConn) { _ = c.Close() }
	for name, c := range map[string]struct {
		// others are the answers on the other connections, of which the empty ones are read to their end, and ends what
		// becomes of those connections, nil for nothing, after they have been unused for a time. The answer ends another
		// time later.
		others         []string
		ends           []func(*net.TCPConn)
		unused, before time.Duration
		// lastEndsAfter is set if the last of the others ends shortly after the answer.
		lastEndsAfter, complete bool
	}{
		"no other connection":                          {complete: true},
		"an unused one goes on":                        {others: []string{empty, part}, ends: []func(*net.TCPConn){nil, closed}, complete: true},
		"one in use goes on":                           {others: []string{empty, part}, ends: []func(*net.TCPConn){closed, nil}, complete: true},
		"an unused one ended long before":              {others: []string{empty}, ends: []func(*net.TCPConn){closed}, before: wellApart, complete: true},
		"the target closed it as it had foretold":      {others: []string{keptSoon}, ends: []func(*net.TCPConn){closed}, unused: 800 * time.Millisecond, complete: true},
		"another answer without a length ended before": {others: []string{unframedBegin}, ends: []func(*net.TCPConn){closed}, before: wellApart, complete: true},
		"another one ends, and one goes on":            {others: []string{unframedBegin, part}, ends: []func(*net.TCPConn){closed, nil}, complete: true},
		"another one ends, and an unused one goes on":  {others: []string{unframedBegin, empty}, ends: []func(*net.TCPConn){closed, nil}},
		"another one ends, and one shortly after":      {others: []string{unframedBegin, unframedBegin}, ends: []func(*net.TCPConn){closed, nil}, unused: wellApart, lastEndsAfter: true, complete: true},
		"another answer without a length ends":         {others: []string{unframedBegin}, ends: []func(*net.TCPConn){closed}},
		"two others without a length end":              {others: []string{unframedBegin, unframedBegin}, ends: []func(*net.TCPConn){closed, closed}},
		"one ends after its last answer":               {others: []string{last}, ends: []func(*net.TCPConn){closed}, complete: true},
		"an unused one is reset":                       {others: []string{empty}, ends: []func(*net.TCPConn){reset}, complete: true},
		"an unused one ends":                           {others: []string{empty}, ends: []func(*net.TCPConn){closed}},
		"another answer breaks off":                    {others: []string{part}, ends: []func(*net.TCPConn){closed}},
		"one waits for its answer":                     {others: []string{noAnswer}, ends: []func(*net.TCPConn){closed}},
		"all end, used or not":                         {others: []string{empty, part, unframedBegin}, ends: []func(*net.TCPConn){closed, closed, closed}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, math.MaxInt)
			// send sends a request, which gets an answer.
			send := func(answer string) (*httptarget.Answer, *net.TCPConn) {
				t.Helper()
				if answer == noAnswer {
					g.Go(func() {
						if a, err := g.Send(t.Context(), g.address(), request("a", "")); err == nil {
							a.Close()
						}
					})
					return nil, <-g.conns
				}
				return g.exchange(t, answer)
			}
			a, ended := send(unframedBegin)
			defer a.Close()
			var used []*httptarget.Answer
			var others []*net.TCPConn
			for _, answer := range c.others {
				other, target := send(answer)
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
			time.Sleep(c.unused)
			for i, end := range c.ends {
				if end != nil {
					end(others[i])
				}
			}
			time.Sleep(c.before)
			_ = ended.Close()
			if c.lastEndsAfter {
				time.Sleep(shortly)
				_ = others[len(others)-1].Close()
			}
			if text, err := io.ReadAll(a); c.complete != (err == nil) || string(text) != "begin" {
				t.Errorf("read %q, %v; complete: want %v", text, err, c.complete)
			}
		})
	}
}
