package earlyrefusal_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/arrivals"
	"github.com/stepcroft/stepcroft/internal/classify"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/earlyrefusal"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/lifecycle"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/throttle"
)

// fakeConn is a connection on which input has arrived.
type fakeConn struct {
	input  *strings.Reader
	output bytes.Buffer
	closed bool
}

func (c *fakeConn) ReadNow(b []byte) int {
	n, _ := c.input.Read(b)
	return n
}

func (c *fakeConn) Write(b []byte) (int, error) { return c.output.Write(b) }

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// shedOnly sheds the requests of one organisation.
type shedOnly string

func (s shedOnly) ShedReason(organisation string, _ throttle.RequestSize) forward.Reason {
	if organisation == string(s) {
		return forward.ReasonOrganisationQueueFull
	}
	return ""
}

// results holds the results of requests by their ids.
type results map[string]forward.Reason

func (r results) RequestEnded(q forward.Request, v forward.Result, _ time.Duration) {
	r[q.ID] = v.Reason
}

const head = "POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\n"

// TestRefusalBeforeServer guards against requests that are refused without their id, an account or a count, and against
// connections that are closed with unread input, which the kernel resets.
func TestRefusalBeforeServer(t *testing.T) {
	table, err := routing.New(routing.Spec{
		Routes:        []routing.Route{{Name: "a", Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "llm", Weight: 1}}}},
		Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4}}},
		Organisations: []routing.Organisation{{Name: "loud", Keys: []string{"k"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		ahead, later string
		shed         string
		refuse       func(f *earlyrefusal.Refuser, c *fakeConn, account *lifecycle.Request, ahead []byte) bool
		want         forward.Reason
	}{
		"overdue": {head[:30], head[30:] + strings.Repeat("x", 100<<10), "", func(f *earlyrefusal.Refuser, c *fakeConn, account *lifecycle.Request, ahead []byte) bool {
			f.RejectRead(c, account, ahead)
			return true
		}, refusal.Overdue},
		"router leaves": {head, "ab", "", func(f *earlyrefusal.Refuser, c *fakeConn, account *lifecycle.Request, ahead []byte) bool {
			f.Refuse(c, account, ahead, refusal.Leaving, refusal.LeavingRetryAfter)
			return true
		}, refusal.Leaving},
		"its organisation has too many":            {head + "ab", "", "loud", refuseOverload, forward.ReasonOrganisationQueueFull},
		"its organisation has too many, in pieces": {head, "ab", "loud", refuseOverload, ""},
		"another organisation has too many":        {head + "ab", "", "other", refuseOverload, ""},
	} {
		t.Run(name, func(t *testing.T) {
			classifier, queue, requests, got := classify.New(forward.HeaderNames{RequestID: "X-Id"}), arrivals.New(), lifecycle.New(time.Second, logr.Discard()), results{}
			classifier.Configure(table)
			f := earlyrefusal.New("X-Id", classifier, shedOnly(c.shed), queue, requests, got, logr.Discard())
			conn := &fakeConn{input: strings.NewReader(c.later)}
			refused := c.refuse(f, conn, f.Begin(len(c.ahead)), []byte(c.ahead))
			if refused != (c.want != "") || conn.closed != refused || got["7"] != c.want {
				t.Fatalf("refused %t, closed %t, results %v, want %q", refused, conn.closed, got, c.want)
			}
			if !refused {
				if conn.output.Len() > 0 || conn.input.Len() < len(c.later) {
					t.Errorf("wrote %q, %d bytes unread", conn.output.String(), conn.input.Len())
				}
				return
			}
			if text := conn.output.String(); !strings.Contains(text, "\r\nX-Id: 7\r\n") || !strings.Contains(text, "\r\nRetry-After: ") || !strings.HasSuffix(text, string(c.want)+"\n") {
				t.Errorf("wrote %q", text)
			}
			if n := requests.Sums(clock.Now()).Ends[lifecycle.Refused]; n != 1 || queue.TakeStats().Refused != 1 || conn.input.Len() > 0 {
				t.Errorf("%d requests refused, %d bytes unread", n, conn.input.Len())
			}
		})
	}
}

func refuseOverload(f *earlyrefusal.Refuser, c *fakeConn, account *lifecycle.Request, ahead []byte) bool {
	return f.RefuseOverload(c, account, ahead)
}
