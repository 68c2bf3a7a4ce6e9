package handover_test

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// largeAnswer is the size of an answer in bytes that does not fit into the buffers on its way.
const largeAnswer = 16 << 20

// TestResetOfReceiverLooksLikeEnd guards against cut answers without a length that look complete, as the reset of the
// connection to the router that serves it is reported to the goroutine that passes the caller's bytes on.
func TestResetOfReceiverLooksLikeEnd(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed with unread input": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun, closed := make(chan struct{}), make(chan struct{})
			r := receiver(t, always, func(c *net.TCPConn) {
				defer close(closed)
				defer c.Close()
				_, _ = bufio.NewReaderSize(c, 16).ReadString('\n')
				if !reset {
					// The kernel resets the connection when more input arrives.
					_, _ = io.WriteString(c, "whole")
					_ = c.CloseWrite()
					close(begun)
					return
				}
				_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
				_, _ = c.Write(make([]byte, largeAnswer))
				close(begun)
				_ = c.SetLinger(0)
			})
			f := newFront(t, 1, r.Addr().String())
			c := f.dial(t)
			_, _ = io.WriteString(c, "question\n")
			<-begun
			<-closed
			told := false
			for range 5 {
				// The relay passes these on while it waits for its caller to read.
				_, err := io.WriteString(c, "more of the question\n")
				told = told || errors.Is(err, syscall.ECONNRESET)
				time.Sleep(10 * time.Millisecond)
			}
			got, err := io.ReadAll(c)
			if reset && !told && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%d bytes, %v; want a reset", len(got), err)
			}
			if !reset && string(got) != "whole" {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}
