package httptarget_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// TestSpareAnsweredInPlaceOfProcess guards against a spare connection that counts as the target's process's although
// something else answered on it, or the process on another one.
func TestSpareAnsweredInPlaceOfProcess(t *testing.T) {
	for name, c := range map[string]struct {
		// asProcess tells for each question of the witness whether it is answered as the process would. The connection of
		// the first is the spare one. err is what the witness returns, and ended is set if the answer has ended by then.
		asProcess []bool
		err       error
		ended     bool
		want      bool
	}{
		"the process answers":                       {asProcess: []bool{true}, want: true},
		"the process answers, its answer had ended": {asProcess: []bool{true}, ended: true},
		"a relay answers":                           {asProcess: []bool{false}},
		"the process answers on another one":        {asProcess: []bool{false, true}},
		"another process answers":                   {asProcess: []bool{true}, err: httptarget.ErrOtherProcess},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, math.MaxInt)
			begun, prepared := make(chan struct{}), make(chan struct{})
			r := g.request()
			r.Witness = func(ctx context.Context, _ time.Time) error {
				defer close(prepared)
				<-begun
				var list []*httptarget.Answer
				for range c.asProcess {
					a, err := g.Send(ctx, g.address(), httptarget.Request{Method: http.MethodGet, Head: []byte("GET " + alivePath + " HTTP/1.1\r\nHost: h\r\n\r\n"), Asks: true, Apart: true})
					if err != nil {
						return err
					}
					list = append(list, a)
				}
				for i, a := range list {
					_, _ = io.ReadAll(a)
					if c.asProcess[i] {
						a.SetConnectionAnswered()
					}
					a.Close()
				}
				return c.err
			}
			g.Go(func() {
				conn := g.arrived()
				_, _ = io.WriteString(conn, unframedBegin)
				if c.ended {
					_ = conn.Close()
				}
				close(begun)
				g.receive(conn)
			})
			a, err := g.Send(t.Context(), g.address(), r)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			<-prepared
			// What the witness has shown is recorded after it.
			known := false
			for end := time.Now().Add(time.Second); !known && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				known = g.IsSpareKnown(g.address())
			}
			if known != c.want {
				t.Errorf("known %v, want %v", known, c.want)
			}
		})
	}
}
