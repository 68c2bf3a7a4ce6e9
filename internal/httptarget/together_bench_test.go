package httptarget

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/group"
)

// BenchmarkEndOfAnswer is the time for which the end of an answer without a length holds up all exchanges of a router
// with 5,000 others in progress.
func BenchmarkEndOfAnswer(b *testing.B) {
	t := New(group.New(b.Context()))
	for range 5000 {
		t.use(&conn{endpoint: endpoint{"127.0.0.1:1", "other"}}, false)
	}
	e := end{conn: &conn{endpoint: endpoint{"127.0.0.1:2", "one"}}, at: time.Now(), about: time.Now()}
	for b.Loop() {
		t.endedTogether(e)
	}
}

// BenchmarkUse is the time to record that a connection carries an exchange, and no more.
func BenchmarkUse(b *testing.B) {
	t := New(group.New(b.Context()))
	c := &conn{endpoint: endpoint{"127.0.0.1:1", "one"}}
	b.ReportAllocs()
	for b.Loop() {
		t.use(c, false)
		t.release(c)
	}
}
