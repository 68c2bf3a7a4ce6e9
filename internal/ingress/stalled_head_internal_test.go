package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestStopDoesNotWaitForStalledHead guards against a stop that lasts until the rest of a request's head is overdue, as
// connections on which one has begun are left open.
func TestStopDoesNotWaitForStalledHead(t *testing.T) {
	for name, first := range map[string]string{"first request": "", "kept alive": wholeRequest} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newTestServer(anyResult{}, false)
			caller := dialServer(t, startTestServer(t, s), first)
			answers := bufio.NewReader(caller)
			if first != "" {
				res, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, res.Body); err != nil {
					t.Fatal(err)
				}
				_ = res.Body.Close()
			}
			fmt.Fprint(caller, otherHead[:20])
			for until := time.Now().Add(5 * time.Second); s.room.Beginning() == 0 && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			// http.Server takes a connection without a request for idle after five seconds.
			const limit = 5*time.Second + 3*maxBeginning
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			if err := s.Shutdown(ctx); err != nil || ctx.Err() != nil {
				t.Errorf("%v, %v: not done after %v, %d connections left", err, ctx.Err(), limit, s.room.Lasting())
			}
		})
	}
}
