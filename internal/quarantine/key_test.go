package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/stepcroft/stepcroft/internal/quarantine"
)

func ExampleKeyOf() {
	first := quarantine.KeyOf("o", "POST", "/ask", []byte("question"))
	again := quarantine.KeyOf("o", "POST", "/ask", []byte("question"))
	fmt.Println(first == again)
	// Output: true
}

func TestKeyDistinguishesRequests(t *testing.T) {
	same := quarantine.KeyOf("o", "POST", "/ask", []byte("question"))
	others := map[string]quarantine.Key{
		"host":                   quarantine.KeyOf("p", "POST", "/ask", []byte("question")),
		"method":                 quarantine.KeyOf("o", "PUT", "/ask", []byte("question")),
		"path":                   quarantine.KeyOf("o", "POST", "/ask/", []byte("question")),
		"body":                   quarantine.KeyOf("o", "POST", "/ask", []byte("questiom")),
		"boundary between parts": quarantine.KeyOf("o", "POST/", "ask", []byte("question")),
		"presence of a body":     quarantine.KeyOf("o", "POST", "/ask", nil),
	}
	for name, key := range others {
		if key == same {
			t.Errorf("a request that differs in the %s has the same key", name)
		}
	}
}

// BenchmarkKeyOf measures the cost of each request while any request is suspected.
func BenchmarkKeyOf(b *testing.B) {
	body := make([]byte, 28<<10)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		quarantine.KeyOf("some.host", "POST", "/some/path/", body)
	}
}
