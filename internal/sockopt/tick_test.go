package sockopt_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/sockopt"
)

// TestClosedTogetherLooksApart guards against connections that were closed in the same instant and seem to have been closed
// at different times, as they are asked for one after the other.
func TestClosedTogetherLooksApart(t *testing.T) {
	const most = 5 * time.Millisecond
	compared := 0
	for range 40 {
		l, _ := listening(t)
		var near, far [2]net.Conn
		for i := range near {
			near[i] = arrive(t, l)
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			far[i] = c
		}
		began := time.Now()
		_ = far[0].Close()
		_ = far[1].Close()
		took := time.Since(began)
		time.Sleep(10 * time.Millisecond)
		first, ok := sockopt.RemoteClosedTick(near[0])
		time.Sleep(7 * time.Millisecond)
		second, alsoOK := sockopt.RemoteClosedTick(near[1])
		if took >= time.Millisecond {
			continue
		}
		compared++
		if apart := (second - first).Abs(); !ok || !alsoOK || apart > most {
			t.Errorf("closed within %v, %v apart: %t, %t", took, apart, ok, alsoOK)
		}
	}
	if compared == 0 {
		t.Error("none were closed in the same instant: the run shows nothing")
	}
}
