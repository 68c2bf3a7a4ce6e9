package httptarget_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestWholeAnswersOfBusyTarget guards against whole answers without a length that look cut since others ended near them
// and those that went on then have ended as well until it is looked.
func TestWholeAnswersOfBusyTarget(t *testing.T) {
	for name, c := range map[string]struct {
		callers  int
		shortest time.Duration
	}{
		"short answers":       {callers: 12, shortest: 20 * time.Millisecond},
		"answers":             {callers: 12, shortest: 100 * time.Millisecond},
		"many answers":        {callers: 60, shortest: 100 * time.Millisecond},
		"few answers":         {callers: 4, shortest: 50 * time.Millisecond},
		"many, short answers": {callers: 60, shortest: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			g := group.New(t.Context())
			m := &model{Transport: httptarget.New(g), listener: l, group: g}
			m.start(1)
			g.Go(m.accept)
			// What is usual at a target is not known at once.
			known := time.Now().Add(time.Second)
			until := known.Add(2 * time.Second)
			var wait sync.WaitGroup
			var whole, doubted atomic.Int64
			for caller := range c.callers {
				random := rand.New(rand.NewPCG(1, uint64(caller)))
				wait.Go(func() {
					for n := 0; time.Now().Before(until); n++ {
						r := request(fmt.Sprint(caller, "-", n), "")
						plan := c.shortest + time.Duration(random.Int64N(int64(c.shortest)*3))
						r.Head = []byte(strings.Replace(string(r.Head), "\r\n\r\n", fmt.Sprintf("\r\n%s: 1\r\n%s: %v\r\n\r\n", modelExpect, modelPlan, plan), 1))
						r.Instance, r.Witness = "1", func(ctx context.Context, before time.Time) error {
							_, _, _, err := m.ask(ctx, 1, statusPath, before.IsZero())
							return err
						}
						a, err := m.Send(t.Context(), l.Addr().String(), r)
						if err != nil {
							t.Error(err)
							return
						}
						_, err = io.ReadAll(a)
						a.Close()
						switch {
						case time.Now().Before(known):
						case err == nil:
							whole.Add(1)
						default:
							doubted.Add(1)
						}
					}
				})
			}
			wait.Wait()
			t.Logf("%d whole, %d in doubt; %v", whole.Load(), doubted.Load(), m.Stats().UnframedEnds)
			if share := float64(doubted.Load()) / float64(whole.Load()+doubted.Load()); share > 0.02 {
				t.Errorf("%.3f of the answers in doubt", share)
			}
			_ = l.Close()
			m.current.Load().kill()
			m.Close()
			g.Stop()
		})
	}
}
