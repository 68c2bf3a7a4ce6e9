package httptarget_test

import (
	"io"
	"math"
	"net"
	"testing"
	"time"
)

// keptSoon is an answer after which an unused connection is kept for a second.
const keptSoon = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n"

// TestEndAtIdleTimeIsForetold guards against a target that is taken for one whose process may have ended, and its whole
// answer for cut, as it closes an unused connection at its idle time while that is being looked at.
func TestEndAtIdleTimeIsForetold(t *testing.T) {
	for name, look := range map[string]func(*testing.T, *target){
		"by a request": func(t *testing.T, g *target) {
			a, next := g.exchange(t, keptSoon)
			a.Close()
			_ = next.Close()
		},
		"by a check": func(t *testing.T, g *target) {
			if open, ended := g.CheckUnused(g.address(), ""); open || ended {
				t.Errorf("open %t, ended %t", open, ended)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, math.MaxInt)
			a, ended := g.exchange(t, unframedBegin)
			defer a.Close()
			defer ended.Close()
			other, unused := g.exchange(t, keptSoon)
			defer unused.Close()
			if _, err := io.ReadAll(other); err != nil {
				t.Fatal(err)
			}
			other.Close()
			time.Sleep(400 * time.Millisecond)
			release := g.Hold()
			time.AfterFunc(600*time.Millisecond, func() {
				_ = unused.Close()
				_ = ended.Close()
				time.Sleep(30 * time.Millisecond)
				release()
			})
			look(t, g)
			if text, err := io.ReadAll(a); err != nil || string(text) != "begin" {
				t.Errorf("read %q, %v", text, err)
			}
		})
	}
}

// TestEndOfRequestIsNotForetold guards against a part of an answer without a length that looks complete, as a target said
// of another connection that it would close it: after an answer that broke off, or while it was unused.
func TestEndOfRequestIsNotForetold(t *testing.T) {
	for name, begin := range map[string]func(*testing.T, *target) (*net.TCPConn, func()){
		"its last answer breaks off": func(t *testing.T, g *target) (*net.TCPConn, func()) {
			a, conn := g.exchange(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\npart")
			return conn, func() {
				defer a.Close()
				if text, err := io.ReadAll(a); err == nil {
					t.Errorf("read %q as complete", text)
				}
			}
		},
		"its next answer takes longer": func(t *testing.T, g *target) (*net.TCPConn, func()) {
			first, conn := g.exchange(t, keptSoon)
			if _, err := io.ReadAll(first); err != nil {
				t.Fatal(err)
			}
			first.Close()
			failed := make(chan error, 1)
			g.Go(func() {
				a, err := g.Send(t.Context(), g.address(), request("a", ""))
				if err == nil {
					a.Close()
				}
				failed <- err
			})
			if next := <-g.conns; next != conn {
				t.Fatal("the connection was not used again")
			}
			time.Sleep(time.Second)
			return conn, func() {
				if err := <-failed; err == nil {
					t.Error("got an answer")
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startTarget(t, math.MaxInt)
			a, ended := g.exchange(t, unframedBegin)
			defer a.Close()
			conn, fails := begin(t, g)
			_ = conn.Close()
			_ = ended.Close()
			fails()
			if text, err := io.ReadAll(a); err == nil {
				t.Errorf("read %q as complete", text)
			}
		})
	}
}
