package ingress

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestStopRefusesMoreThanDescriptors guards against connections in the accept queue that are reset, as a stop took a
// descriptor for each of them before it refused any.
func TestStopRefusesMoreThanDescriptors(t *testing.T) {
	const callers, free = 40, 6
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := newTestServer(anyResult{}, false)
	defer checkAccount(t, s)
	in := newListener(l, s)
	var conns []net.Conn
	for range callers {
		conns = append(conns, dialServer(t, l.Addr(), wholeRequest))
	}
	time.Sleep(20 * time.Millisecond)
	limitDescriptors(t, free)
	if err := in.Close(); err != nil {
		t.Fatal(err)
	}
	refused := 0
	for _, c := range conns {
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && res.StatusCode == http.StatusServiceUnavailable {
			refused++
			_ = res.Body.Close()
		}
	}
	if refused < callers {
		t.Errorf("%d of %d requests refused", refused, callers)
	}
}

// limitDescriptors lets the process open a few more descriptors until the test ends.
func limitDescriptors(t *testing.T, free uint64) {
	t.Helper()
	next, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	var before syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before); err != nil {
			t.Error(err)
		}
	})
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(next.Fd()) + free, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
}
