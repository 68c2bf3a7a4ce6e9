package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"testing"

	"github.com/stepcroft/stepcroft/internal/memory"
)

// TestTruncatedStreamLooksTruncated guards against a stream that the target breaks off and that looks complete to
// its caller, also to one whose version of HTTP has no chunks.
func TestTruncatedStreamLooksTruncated(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	for name, version := range map[string]string{"chunks": "1.1", "end of the connection": "1.0"} {
		for ending, breaks := range map[string]bool{"whole": false, "broken off": true} {
			t.Run(name+", "+ending, func(t *testing.T) {
				address := startServer(t, memory.New(math.MaxInt64), func(w http.ResponseWriter, _ *http.Request) {
					fmt.Fprint(w, event)
					_ = http.NewResponseController(w).Flush()
					if breaks {
						panic(http.ErrAbortHandler)
					}
				})
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				fmt.Fprintf(c, "POST /stream/x HTTP/%s\r\nHost: h\r\nX-Id: r\r\nAuthorization: Bearer k2\r\nContent-Length: 0\r\n\r\n", version)
				res, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatal(err)
				}
				defer res.Body.Close()
				body, err := io.ReadAll(res.Body)
				if string(body) != event || (err != nil) != breaks {
					t.Errorf("status %d, body %q, error %v", res.StatusCode, body, err)
				}
			})
		}
	}
}
