package ingress_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"
)

// TestStopIsAnnouncedByAnswersThatBeginDuringIt guards against callers that keep the connection of a request sent before
// a planned stop, and whose next request crosses its close.
func TestStopIsAnnouncedByAnswersThatBeginDuringIt(t *testing.T) {
	s, address, targets := newStreamServer(t)
	caller, target := exchange(t, address, targets, "HTTP/1.1")
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
