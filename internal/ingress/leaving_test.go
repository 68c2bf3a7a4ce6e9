package ingress_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestStopIsAnnouncedByAnswersThatBeginDuringIt guards against callers that keep the connection of a request sent before
// a planned stop, and whose next request crosses its close.
func TestStopIsAnnouncedByAnswersThatBeginDuringIt(t *testing.T) {
	s, address, targets := newStreamServer(t)
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	if err := caller.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(caller, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nContent-Length: 1\r\n\r\n1")
	target, err := targets.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	if _, err := http.ReadRequest(bufio.NewReader(target)); err != nil {
		t.Fatal(err)
	}
	s.Leave()
	fmt.Fprint(target, "HTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 14\r\n\r\nid: 1\ndata: x\n\n")
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if !answer.Close {
		t.Error("the answer keeps the connection")
	}
}
