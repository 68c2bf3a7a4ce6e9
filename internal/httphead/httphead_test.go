package httphead_test

import (
	"fmt"

	"github.com/stepcroft/stepcroft/internal/httphead"
)

func ExampleParse() {
	names := httphead.Names{ID: "X-Id"}
	h, size, ok := httphead.Parse([]byte("POST /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello"), &names)
	fmt.Printf("%s %s %d %d %t\n", h.Target, h.ID, h.BodyLength, size, ok)
	_, _, ok = httphead.Parse([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"), &names)
	fmt.Println(ok)
	// Output:
	// /a 1 5 57 true
	// false
}

func ExampleKept() {
	var head httphead.Kept
	head.Keep([]byte("POST /a HTTP/1.1\r\nX-Id: 1"))
	head.Add([]byte("2\r\nContent-Length: -1\r\n\r\n"))
	fmt.Println(head.RequestID("X-Id"))
	head.Drop()
	head.KeepID("34")
	fmt.Println(head.RequestID("X-Id"))
	// Output:
	// 12
	// 34
}
