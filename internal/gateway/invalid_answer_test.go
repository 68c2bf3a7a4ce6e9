package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sendRaw returns a target's handler that sends a text, in which {id} stands for the request's id, and closes the connection.
func sendRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "{id}", r.Header.Get(headerNames.RequestID)))
	}
}

// invalidHeads returns the number of heads of targets that were none of HTTP, as operators see it.
func (r *rig) invalidHeads() int64 {
	answer := httptest.NewRecorder()
	r.metrics.ServeHTTP(answer, nil)
	var m struct {
		TargetConnections struct {
			InvalidHeads int64 `json:"invalid_heads"`
		} `json:"target_connections"`
	}
	Expect(json.NewDecoder(answer.Body).Decode(&m)).To(Succeed())
	return m.TargetConnections.InvalidHeads
}

// Guards against passing on to callers what HTTP does not have as an answer.
var _ = Describe("A head that is none of HTTP", func() {
	const rest = "Content-Length: 1\r\n\r\nx"
	const id = headerSeal + ": s\r\nX-Id: {id}\r\n"
	for name, head := range map[string]string{
		"000": "HTTP/1.1 000 x\r\n", "-00": "HTTP/1.1 -00 x\r\n", "099": "HTTP/1.1 099 x\r\n", "+99": "HTTP/1.1 +99 x\r\n", "+200": "HTTP/1.1 +200 x\r\n",
		"20": "HTTP/1.1 20 x\r\n", "2000": "HTTP/1.1 2000 x\r\n", "600": "HTTP/1.1 600 x\r\n", "999": "HTTP/1.1 999 x\r\n",
		"101": "HTTP/1.1 101 x\r\n", "600 after 103": "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 600 x\r\n", "version 9.9": "HTTP/9.9 200 x\r\n",
		"600, not run": "HTTP/1.1 600 x\r\nX-Not-Run: 1\r\n",
	} {
		for form, text := range map[string]string{"with the request's id": head + id + rest, "without it": head + rest} {
			It("becomes a failure: "+name+" "+form, func() {
				r := newRig()
				r.configure(spec(1))
				r.serve("t", sendRaw(text))
				for _, path := range []string{"/once/x", "/single/x"} {
					got := r.post(path)
					Expect(got.Err).NotTo(HaveOccurred())
					Expect(got.Status).To(Equal(http.StatusBadGateway))
					Expect(got.Body).To(Equal("target-broken\n"))
				}
				Expect(r.invalidHeads()).To(Equal(int64(2)))
			})
		}
	}

	for name, text := range map[string]string{
		"199": "HTTP/1.1 199 x\r\n" + id + "\r\n", "100": "HTTP/1.1 100 x\r\n\r\n", "bytes without lines": "spoiled",
	} {
		It("is not the beginning of an answer: "+name, func() {
			r := newRig()
			r.configure(spec(1))
			r.serve("t", sendRaw(text))
			got := r.post("/once/x")
			Expect(got.Status).To(Equal(http.StatusBadGateway))
			Expect(got.Body).To(Equal("target-broken\n"))
			Expect(r.invalidHeads()).To(BeZero())
		})
	}

	It("is not one with chunks in HTTP/1.0", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", sendRaw("HTTP/1.0 200 x\r\n"+id+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
		Expect(r.post("/once/x").Status).To(Equal(http.StatusBadGateway))
		Expect(r.invalidHeads()).To(Equal(int64(1)))
	})

	It("is not an unusual status", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", sendRaw("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 599\r\n"+id+rest))
		got := r.post("/once/x")
		Expect(got.Status).To(Equal(599))
		Expect(got.Body).To(Equal("x"))
	})
})
