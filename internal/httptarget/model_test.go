package httptarget_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// modelProcess is a process that was started at the address of the model.
type modelProcess struct {
	id    int
	mu    sync.Mutex
	conns map[net.Conn]bool
	dead  bool
}

// add adds a connection, or closes it if the process has ended.
func (p *modelProcess) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

// kill ends the process, whose kernel closes its connections.
func (p *modelProcess) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
	for c := range p.conns {
		_ = c.Close()
	}
}

// write writes to a connection unless the process has ended.
func (p *modelProcess) write(c net.Conn, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dead {
		return false
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

func (p *modelProcess) end(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// model is an address at which one process follows the other. A listener outlives them, as that of a relay does.
type model struct {
	*httptarget.Transport
	listener net.Listener
	// current is the process that runs, entry the one that is listed.
	current atomic.Pointer[modelProcess]
	entry   atomic.Int64
	group   *group.Group
}

const (
	modelExpect, modelPlan, modelServed = "X-Expect", "X-Plan", "X-Served"
	statusPath, namedPath               = "/status", "/named"
)

func (m *model) start(id int) { m.current.Store(&modelProcess{id: id, conns: map[net.Conn]bool{}}) }

func (m *model) accept() {
	for {
		c, err := m.listener.Accept()
		if err != nil {
			return
		}
		if p := m.current.Load(); p.add(c) {
			m.group.Go(func() { p.serve(c) })
		}
	}
}

// serve answers requests, of which those with a plan get an answer without a length that ends with "end" after a time.
func (p *modelProcess) serve(c net.Conn) {
	defer p.end(c)
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Id")
		if expected := r.Header.Get(modelExpect); r.URL.Path != statusPath && expected != strconv.Itoa(p.id) {
			_, _ = io.Copy(io.Discard, r.Body)
			p.write(c, fmt.Sprintf("HTTP/1.1 421 x\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
			continue
		}
		switch r.URL.Path {
		case statusPath:
			p.write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		case namedPath:
			p.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", modelServed, p.id))
			continue
		}
		plan, _ := time.ParseDuration(r.Header.Get(modelPlan))
		if plan == 0 {
			_, _ = io.Copy(io.Discard, r.Body)
			p.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nend", id))
			continue
		}
		p.write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nbegin ", id))
		for range 4 {
			time.Sleep(plan / 4)
			_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
			p.write(c, "more ")
		}
		_, _ = io.Copy(io.Discard, r.Body)
		p.write(c, "end")
		return
	}
}

// ask asks the process of an entry on a path.
func (m *model) ask(ctx context.Context, entry int, path string, apart bool) (status int, at time.Time, known bool, err error) {
	a, err := m.Send(ctx, m.listener.Addr().String(), httptarget.Request{
		Method: http.MethodGet, Head: fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: h\r\n%s: %d\r\n\r\n", path, modelExpect, entry),
		Instance: strconv.Itoa(entry), Asks: true, Apart: apart,
	})
	if err != nil {
		return 0, time.Time{}, false, err
	}
	defer a.Close()
	_, _ = io.ReadAll(a)
	if a.Header.Get(modelServed) == strconv.Itoa(entry) {
		a.SetConnectionKnown()
	}
	if a.Status == http.StatusOK {
		a.SetConnectionAnswered()
	}
	return a.Status, a.ConnectedAt(), a.IsConnectionKnown(), nil
}

// witness asks as a router asks an engine: for its status, which names nobody, and if that may be another's for more.
func (m *model) witness(entry int) httptarget.Witness {
	return func(ctx context.Context, before time.Time) error {
		if _, at, known, err := m.ask(ctx, entry, statusPath, before.IsZero()); err != nil || known && at.Before(before) {
			return err
		}
		status, _, _, err := m.ask(ctx, entry, namedPath, before.IsZero())
		if err == nil && status == http.StatusMisdirectedRequest {
			return httptarget.ErrOtherProcess
		}
		return err
	}
}

// TestCutAnswersOfModel guards against answers without a length that look complete although the process that sent them was
// killed, at random and with another one at its address at once, and against goroutines and connections left over.
func TestCutAnswersOfModel(t *testing.T) {
	const (
		seeds, callers, length = 3, 12, 2 * time.Second
		entryDelay             = 100 * time.Millisecond
	)
	before := runtime.NumGoroutine()
	for seed := range uint64(seeds) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g := group.New(t.Context())
		m := &model{Transport: httptarget.New(g), listener: l, group: g}
		m.start(1)
		m.entry.Store(1)
		g.Go(m.accept)
		until := time.Now().Add(length)
		var wait sync.WaitGroup
		var whole, cut, wrong, doubted atomic.Int64
		for caller := range callers {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			wait.Go(func() {
				for n := 0; time.Now().Before(until); n++ {
					text, err := m.exchange(t.Context(), random, fmt.Sprint("r", seed, "-", caller, "-", n))
					switch ended := strings.HasSuffix(text, "end"); {
					case text == "":
					case err == nil && ended:
						whole.Add(1)
					case err == nil:
						wrong.Add(1)
						t.Errorf("seed %d: %q looks complete", seed, text)
					case ended:
						doubted.Add(1)
					default:
						cut.Add(1)
					}
				}
			})
		}
		random := rand.New(rand.NewPCG(seed, callers))
		for id := 2; time.Now().Before(until); id++ {
			time.Sleep(time.Duration(300+random.IntN(300)) * time.Millisecond)
			old := m.current.Load()
			if random.IntN(2) == 0 {
				// The next one accepts connections first.
				m.start(id)
				old.kill()
			} else {
				old.kill()
				time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
				m.start(id)
			}
			time.AfterFunc(entryDelay, func() { m.entry.Store(int64(id)) })
		}
		wait.Wait()
		t.Logf("seed %d: %d whole, %d in doubt, %d cut, %d cut that look complete; %+v", seed, whole.Load(), doubted.Load(), cut.Load(), wrong.Load(), m.Stats())
		if whole.Load() == 0 || cut.Load() == 0 {
			t.Error("the run shows nothing")
		}
		_ = l.Close()
		m.current.Load().kill()
		m.Close()
		g.Stop()
	}
	for range 100 {
		if runtime.NumGoroutine() <= before {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d goroutines, %d before", runtime.NumGoroutine(), before)
}

// exchange sends a request of a random kind and returns what is read of its answer, nothing if that has a length.
func (m *model) exchange(ctx context.Context, random *rand.Rand, id string) (string, error) {
	entry := int(m.entry.Load())
	body := ""
	if random.IntN(4) == 0 {
		body = strings.Repeat("b", 1+random.IntN(300<<10))
	}
	plan := time.Duration(random.IntN(5)) * 20 * time.Millisecond
	r := request(id, body)
	r.Head = []byte(strings.Replace(string(r.Head), "\r\n\r\n", fmt.Sprintf("\r\n%s: %d\r\n%s: %v\r\n\r\n", modelExpect, entry, modelPlan, plan), 1))
	r.Instance, r.Witness = strconv.Itoa(entry), m.witness(entry)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if random.IntN(10) == 0 {
		time.AfterFunc(time.Duration(random.IntN(100))*time.Millisecond, cancel)
	}
	a, err := m.Send(ctx, m.listener.Addr().String(), r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	if random.IntN(4) == 0 {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	text, err := io.ReadAll(a)
	if a.Framing() != httptarget.Unframed {
		return "", nil
	}
	return string(text), err
}
