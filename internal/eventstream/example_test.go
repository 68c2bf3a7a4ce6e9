package eventstream_test

import (
	"fmt"
	"strings"

	"github.com/stepcroft/stepcroft/internal/eventstream"
)

func ExampleReader_Next() {
	r := eventstream.New(strings.NewReader("id: 4\ndata: a\n\nid: 6\ndata: b\n\nid: 7\nda"), nil, nil)
	b, err := r.Next("3")
	fmt.Println(b.Count, b.FirstID, b.LastID, b.Skipped, err)
	_, err = r.Next(b.LastID)
	fmt.Println(err)
	// Output:
	// 2 4 6 1 <nil>
	// stream ends within an event
}
