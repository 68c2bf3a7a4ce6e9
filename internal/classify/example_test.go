package classify_test

import (
	"fmt"

	"github.com/stepcroft/stepcroft/internal/classify"
	"github.com/stepcroft/stepcroft/internal/forward"
	"github.com/stepcroft/stepcroft/internal/routing"
)

func ExampleClassifier_ReadHead() {
	table, err := routing.New(routing.Spec{
		Routes:        []routing.Route{{Name: "chat", Host: "h", Prefix: "/chat/", Shares: []routing.Share{{Service: "llm", Weight: 1}}}},
		Services:      []routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4}}},
		Organisations: []routing.Organisation{{Name: "acme", Keys: []string{"k"}}},
	})
	if err != nil {
		panic(err)
	}
	c := classify.New(forward.HeaderNames{RequestID: "X-Id", PromptSize: "X-Size"})
	c.Configure(table)
	r := c.ReadHead([]byte("POST /chat/a HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nX-Size: 100,20\r\nAuthorization: Bearer k\r\nContent-Length: 2\r\n\r\n"))
	fmt.Println(r.ID, r.Organisation, r.Service, r.ToEngine, r.Input, r.Output)
	// What does not hold a whole head has at most an id.
	r = c.ReadHead([]byte("POST /chat/a HTTP/1.1\r\nX-Id: 8\r\nX-Si"))
	fmt.Printf("%s %q\n", r.ID, r.Organisation)
	// Output:
	// 7 acme llm true 100 20
	// 8 ""
}
