package handover_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/handover"
	"github.com/stepcroft/stepcroft/internal/message"
)

// front is a router that hands over all its callers' connections, and serves those that come back.
type front struct {
	sender *handover.Sender
	caller net.Listener
	local  atomic.Int64
}

// newFront returns a front whose only candidates are the given addresses.
func newFront(t testing.TB, utilisation float64, addresses ...string) *front {
	t.Helper()
	return newLimitedFront(t, 100, utilisation, addresses...)
}

// newLimitedFront is newFront with a limit of open relays.
func newLimitedFront(t testing.TB, relays int, utilisation float64, addresses ...string) *front {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := group.New(context.Background())
	none := func() time.Duration { return 0 }
	f := &front{caller: l, sender: handover.NewSender(
		g, handover.Limits{Relays: relays, Connecting: 100}, 0, none, func() float64 { return utilisation }, logr.Discard(),
	)}
	var list []handover.Candidate
	for i, a := range addresses {
		list = append(list, handover.Candidate{ID: message.RouterID(fmt.Sprint("r", i)), Address: a, Cores: 1})
	}
	f.sender.SetSpacing(true)
	f.sender.SetCandidates(list)
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if !f.sender.Take(arrival{Conn: c, local: f.serveLocally}) {
				f.serveLocally(c)
			}
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		g.Stop()
	})
	return f
}

// arrival is a new connection of an unknown organisation, from which nothing has been read.
type arrival struct {
	net.Conn
	local func(net.Conn)
	ahead string
}

func (arrival) Organisation() (string, bool)      { return "", true }
func (arrival) AwaitOrganisation() (string, bool) { return "", true }
func (a arrival) Open() (net.Conn, error)         { return a.Conn, nil }
func (a arrival) ReadAhead() []byte               { return []byte(a.ahead) }
func (a arrival) ServeLocally()                   { a.local(a.Conn) }

// serveLocally answers "local " and the first line of the request.
func (f *front) serveLocally(c net.Conn) {
	defer c.Close()
	f.local.Add(1)
	line, _ := bufio.NewReader(c).ReadString('\n')
	_, _ = io.WriteString(c, "local "+line)
}

// dial connects to the front as a caller.
func (f *front) dial(t testing.TB) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", f.caller.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c.(*net.TCPConn)
}

// receiver starts a router that accepts what accepts says and calls serve with each connection.
func receiver(t testing.TB, accepts func() handover.Decline, serve func(c *net.TCPConn)) *handover.Receiver {
	t.Helper()
	r, err := handover.Listen(context.Background(), "127.0.0.1:0", accepts, func() {})
	if err != nil {
		t.Fatal(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			c, err := r.Accept()
			if err != nil {
				return
			}
			wait.Go(func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			})
		}
	})
	t.Cleanup(func() {
		_ = r.Close()
		wait.Wait()
	})
	return r
}

func always() handover.Decline { return "" }

// ask sends a line and returns all of the answer.
func ask(t *testing.T, f *front) (string, error) {
	t.Helper()
	c := f.dial(t)
	if _, err := io.WriteString(c, "question\n"); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	return string(got), err
}

// echoLine answers "there " and the first line of a request.
func echoLine(c *net.TCPConn) {
	line, _ := bufio.NewReader(c).ReadString('\n')
	_, _ = io.WriteString(c, "there "+line)
}

// TestNotAccepted guards against losing a caller whose connection no other router takes.
func TestNotAccepted(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	decliner := receiver(t, func() handover.Decline { return handover.DeclinedBusy }, echoLine).Addr().String()
	cases := map[string]struct {
		addresses []string
		want      string
		stats     handover.Stats
	}{
		"accepts":             {[]string{receiver(t, always, echoLine).Addr().String()}, "there question\n", handover.Stats{Sent: 1, Accepted: 1, Bytes: 24}},
		"declines":            {[]string{decliner}, "local question\n", handover.Stats{Sent: 1, Declined: 1, Returned: 1}},
		"both decline":        {[]string{decliner, decliner}, "local question\n", handover.Stats{Sent: 2, Declined: 2, Returned: 1}},
		"does not answer":     {[]string{silent.Addr().String()}, "local question\n", handover.Stats{Sent: 1, Failed: 1, Returned: 1}},
		"cannot be reached":   {[]string{gone.Addr().String()}, "local question\n", handover.Stats{Sent: 1, Failed: 1, Returned: 1}},
		"there are no others": {nil, "local question\n", handover.Stats{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, 1, c.addresses...)
			began := time.Now()
			if got, err := ask(t, f); got != c.want || err != nil {
				t.Errorf("got %q, %v", got, err)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %v", took)
			}
			eventually(t, "counts", func() bool { return reflect.DeepEqual(f.sender.Stats(), c.stats) })
		})
	}
}

// TestReadAheadIsRelayedFirst guards against losing the bytes that told whose a connection is.
func TestReadAheadIsRelayedFirst(t *testing.T) {
	f := newFront(t, 1, receiver(t, always, echoLine).Addr().String())
	accepted, caller := pair(t)
	if !f.sender.Take(arrival{Conn: accepted, ahead: "que"}) {
		t.Fatal("not taken")
	}
	_, _ = io.WriteString(caller, "stion\n")
	if got, err := io.ReadAll(caller); string(got) != "there question\n" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestYieldingOrganisation guards against handing over connections of organisations that must let
// others go first, also of those that are known only once their request has arrived.
func TestYieldingOrganisation(t *testing.T) {
	for name, identified := range map[string]bool{"known at once": true, "known later": false} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, 1, receiver(t, always, echoLine).Addr().String())
			f.sender.SetYielding(map[string]bool{"ahead": true})
			for _, organisation := range []string{"ahead", "behind"} {
				want := map[string]int64{"ahead": 0, "behind": 1}[organisation]
				accepted, caller := pair(t)
				_, _ = io.WriteString(caller, "question\n")
				a := identifiedArrival{arrival{Conn: accepted, local: f.serveLocally}, organisation, identified}
				if !f.sender.Take(a) {
					f.serveLocally(accepted)
				}
				if _, err := io.ReadAll(caller); err != nil {
					t.Fatal(err)
				}
				if got := f.sender.Stats().Accepted; got != want {
					t.Errorf("%s: %d handed over, want %d", organisation, got, want)
				}
			}
		})
	}
}

// identifiedArrival is a new connection of a known organisation.
type identifiedArrival struct {
	arrival
	organisation string
	atOnce       bool
}

func (a identifiedArrival) Organisation() (string, bool)      { return a.organisation, a.atOnce }
func (a identifiedArrival) AwaitOrganisation() (string, bool) { return a.organisation, true }

func TestIdleRouterServesItself(t *testing.T) {
	f := newFront(t, 0.55, receiver(t, always, echoLine).Addr().String())
	if got, err := ask(t, f); got != "local question\n" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 300 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

// streamHead is the head of an answer whose end is recognised by its length.
const streamHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"

// TestReceiverDiesInMidAnswer guards against a cut answer that looks complete, and against repeating
// the request.
func TestReceiverDiesInMidAnswer(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			die := make(chan struct{})
			r := receiver(t, always, func(c *net.TCPConn) {
				served.Add(1)
				_, _ = bufio.NewReader(c).ReadString('\n')
				_, _ = io.WriteString(c, streamHead)
				<-die
				if reset {
					_ = c.SetLinger(0)
				}
			})
			f := newFront(t, 1, r.Addr().String())
			c := f.dial(t)
			if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			first := make([]byte, 5)
			if _, err := io.ReadFull(res.Body, first); err != nil || string(first) != "first" {
				t.Fatalf("%q, %v", first, err)
			}
			close(die)
			if rest, err := io.ReadAll(res.Body); err == nil || len(rest) > 0 {
				t.Errorf("got %q, %v; want an error", rest, err)
			}
			_ = c.Close()
			if served.Load() != 1 || f.local.Load() != 0 {
				t.Errorf("served %d times there and %d times here, want once there", served.Load(), f.local.Load())
			}
			eventually(t, "relay still open", func() bool { return f.sender.Open() == 0 })
		})
	}
}

// TestCallerCloses guards against engines that work on for callers that are gone.
func TestCallerCloses(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			began, seen := make(chan struct{}), make(chan time.Time, 1)
			r := receiver(t, always, func(c *net.TCPConn) {
				in := bufio.NewReader(c)
				_, _ = in.ReadString('\n')
				close(began)
				_, _ = in.ReadByte()
				seen <- time.Now()
			})
			f := newFront(t, 1, r.Addr().String())
			c := f.dial(t)
			_, _ = io.WriteString(c, "question\n")
			<-began
			if reset {
				_ = c.SetLinger(0)
			}
			closed := time.Now()
			_ = c.Close()
			if took := (<-seen).Sub(closed); took > 100*time.Millisecond {
				t.Errorf("the receiver saw it after %v", took)
			}
			eventually(t, "relay still open", func() bool { return f.sender.Open() == 0 })
		})
	}
}

// TestHalfClose guards against cutting the answer to a caller that has sent all it wants to send.
func TestHalfClose(t *testing.T) {
	r := receiver(t, always, func(c *net.TCPConn) {
		all, _ := io.ReadAll(c)
		fmt.Fprintf(c, "%d bytes", len(all))
	})
	f := newFront(t, 1, r.Addr().String())
	c := f.dial(t)
	_, _ = io.WriteString(c, strings.Repeat("x", 1<<20))
	_ = c.CloseWrite()
	if got, err := io.ReadAll(c); string(got) != "1048576 bytes" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestQuietRelays guards against a planned stop that waits for callers without a request, and
// against one that cuts off answers.
func TestQuietRelays(t *testing.T) {
	answer := make(chan struct{})
	r := receiver(t, always, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if line == "wait\n" {
				<-answer
			}
			_, _ = io.WriteString(c, line)
		}
	})
	f := newFront(t, 1, r.Addr().String())
	quiet, busy := f.dial(t), f.dial(t)
	_, _ = io.WriteString(quiet, "a\n")
	_, _ = io.ReadFull(quiet, make([]byte, 2))
	_, _ = io.WriteString(busy, "wait\n")
	time.Sleep(100 * time.Millisecond)
	if n := f.sender.CloseQuiet(50 * time.Millisecond); n != 1 {
		t.Fatalf("%d closed, want 1", n)
	}
	if _, err := quiet.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("quiet connection: %v, want EOF", err)
	}
	close(answer)
	if _, err := io.ReadFull(busy, make([]byte, 5)); err != nil {
		t.Errorf("busy connection: %v", err)
	}
}

// TestRequestDuringClose guards against running a request whose answer is then thrown away, when the
// relay is closed while the request arrives.
func TestRequestDuringClose(t *testing.T) {
	var served atomic.Int64
	r := receiver(t, always, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			served.Add(1)
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(c, line); err != nil {
				return
			}
		}
	})
	f := newFront(t, 1, r.Addr().String())
	for i := range 20 {
		served.Store(0)
		c, answer := f.dial(t), make([]byte, 2)
		_, _ = io.WriteString(c, "a\n")
		if _, err := io.ReadFull(c, answer); err != nil {
			t.Fatal(err)
		}
		eventually(t, "not closed", func() bool { return f.sender.CloseQuiet(0) == 1 })
		time.Sleep(time.Duration(i) * 3 * time.Millisecond)
		_, _ = io.WriteString(c, "b\n")
		answered := int64(1)
		if _, err := io.ReadFull(c, answer); err == nil {
			answered++
		}
		_ = c.Close()
		eventually(t, "relay still open", func() bool { return f.sender.Open() == 0 })
		if n := served.Load(); n != answered {
			t.Errorf("after %d ms: %d requests served, %d answered", 3*i, n, answered)
		}
	}
}

// TestSlowCallerIsNotQuiet guards against cutting an answer whose caller reads slowly.
func TestSlowCallerIsNotQuiet(t *testing.T) {
	const size = 16 << 20
	r := receiver(t, always, func(c *net.TCPConn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = c.Write(make([]byte, size))
	})
	f := newFront(t, 1, r.Addr().String())
	f.sender.SetSpacing(false)
	c := f.dial(t)
	_, _ = io.WriteString(c, "question\n")
	time.Sleep(300 * time.Millisecond)
	if n := f.sender.CloseQuiet(200 * time.Millisecond); n != 0 {
		t.Errorf("%d closed, want 0", n)
	}
	if n, err := io.Copy(io.Discard, c); n != size || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// TestCallerPauses guards against cutting an answer because its caller does not read for some seconds.
func TestCallerPauses(t *testing.T) {
	const size = 16 << 20
	r := receiver(t, always, func(c *net.TCPConn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = c.Write(make([]byte, size))
	})
	f := newFront(t, 1, r.Addr().String())
	f.sender.SetSpacing(false)
	c := f.dial(t)
	_, _ = io.WriteString(c, "question\n")
	time.Sleep(3 * time.Second)
	if n, err := io.Copy(io.Discard, c); n != size || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// TestQuietRelaysMakeRoom guards against callers that only keep connections open and so use up the
// allowed relays.
func TestQuietRelaysMakeRoom(t *testing.T) {
	const relays = 4
	r := receiver(t, always, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	f := newLimitedFront(t, relays, 1, r.Addr().String())
	var open []*net.TCPConn
	for range relays {
		c := f.dial(t)
		_, _ = io.WriteString(c, "question\n")
		if _, err := io.ReadFull(c, make([]byte, 9)); err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(handover.QuietTime + 5*time.Second))
		open = append(open, c)
	}
	if got, err := ask(t, f); got != "local question\n" || err != nil {
		t.Errorf("beyond the limit: got %q, %v", got, err)
	}
	time.Sleep(handover.QuietTime + 100*time.Millisecond)
	for _, c := range open[1:] {
		// These have requests again.
		_, _ = io.WriteString(c, "x")
		_, _ = io.ReadFull(c, make([]byte, 1))
	}
	_, _ = ask(t, f)
	if _, err := open[0].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("quiet connection: %v, want EOF", err)
	}
	_ = open[0].Close()
	eventually(t, "no room", func() bool { return f.sender.Open() == relays-1 })
	c := f.dial(t)
	_, _ = io.WriteString(c, "question\n")
	got := make([]byte, 9)
	if _, err := io.ReadFull(c, got); string(got) != "question\n" || err != nil {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestRefusalPassesUnread guards against a router that handles the refusals of another one: only the
// caller may act on them.
func TestRefusalPassesUnread(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nContent-Length: 11\r\n\r\nqueue-full\n"
	var served atomic.Int64
	r := receiver(t, always, func(c *net.TCPConn) {
		served.Add(1)
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, refusal)
	})
	f := newFront(t, 1, r.Addr().String(), r.Addr().String())
	if got, err := ask(t, f); got != refusal || err != nil || served.Load() != 1 || f.local.Load() != 0 {
		t.Errorf("got %q, %v; served %d times there, %d times here", got, err, served.Load(), f.local.Load())
	}
}

// TestSpacing guards against spending a read and a write on each event while the router is short of
// CPU time, and against longer pauses than callers accept: 400 ms at least.
func TestSpacing(t *testing.T) {
	const events, pause = 30, 20 * time.Millisecond
	r := receiver(t, always, func(c *net.TCPConn) {
		_, _ = bufio.NewReader(c).ReadString('\n')
		for range events {
			_, _ = io.WriteString(c, "event\n")
			time.Sleep(pause)
		}
	})
	f := newFront(t, 1, r.Addr().String())
	c := f.dial(t)
	_, _ = io.WriteString(c, "question\n")
	reads, bytes, buffer := 0, 0, make([]byte, 1<<10)
	for last := time.Now(); ; last = time.Now() {
		n, err := c.Read(buffer)
		if n == 0 || err != nil {
			break
		}
		reads, bytes = reads+1, bytes+n
		if d := time.Since(last); d > 400*time.Millisecond {
			t.Errorf("pause of %v", d)
		}
	}
	if bytes != events*len("event\n") || reads > events/3 {
		t.Errorf("%d bytes in %d pieces", bytes, reads)
	}
}

// TestSpacingDelaysNoOthers guards against spacing that slows down large answers, and short ones on a
// connection that stays open.
func TestSpacingDelaysNoOthers(t *testing.T) {
	const size = 4 << 20
	r := receiver(t, always, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for range 20 {
			_, _ = in.ReadString('\n')
			_, _ = io.WriteString(c, "a\n")
		}
		_, _ = in.ReadString('\n')
		_, _ = c.Write(make([]byte, size))
	})
	f := newFront(t, 1, r.Addr().String())
	c, began := f.dial(t), time.Now()
	for range 20 {
		_, _ = io.WriteString(c, "question\n")
		if _, err := io.ReadFull(c, make([]byte, 2)); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("20 short answers took %v", took)
	}
	_, _ = io.WriteString(c, "question\n")
	if n, err := io.Copy(io.Discard, c); n != size || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// TestStop guards against relays that outlive their router.
func TestStop(t *testing.T) {
	r := receiver(t, always, func(c *net.TCPConn) { _, _ = io.ReadAll(c) })
	caller, accepted := pair(t)
	_, peer := dialPair(t, r)
	g := group.New(context.Background())
	ended := make(chan error, 1)
	g.GoContext(func(ctx context.Context) {
		_, err := handover.Relay(ctx, accepted, peer, g.Go, nil)
		ended <- err
	})
	g.Stop()
	if err := <-ended; !errors.Is(err, handover.ErrReset) {
		t.Errorf("%v, want %v", err, handover.ErrReset)
	}
	_ = caller.SetDeadline(time.Now().Add(time.Second))
	if _, err := caller.Read(make([]byte, 1)); err == nil {
		t.Error("the caller's connection is still open")
	}
}

// pair returns both ends of a connection.
func pair(t testing.TB) (a, b net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if a, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	return a, b
}

// dialPair connects to a receiver and waits until it accepts.
func dialPair(t testing.TB, r *handover.Receiver) (byte, net.Conn) {
	t.Helper()
	c, err := net.Dial("tcp", r.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	one := make([]byte, 1)
	if _, err := io.ReadFull(c, one); err != nil {
		t.Fatal(err)
	}
	return one[0], c
}
