package revision_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/revision"
)

// ExampleNew shows that every revision of a new era is later than any of an earlier one.
func ExampleNew() {
	before, _ := revision.New(1, 38)
	after, _ := revision.New(2, 35)
	fmt.Println(after > before, revision.Era(after), revision.Store(after))
	first, _ := revision.New(0, 38)
	fmt.Println(first)
	// Output:
	// true 2 35
	// 38
}

func TestRange(t *testing.T) {
	cases := map[string]struct {
		era, store int64
		good       bool
	}{
		"least":             {0, 0, true},
		"most":              {1<<23 - 1, 1<<40 - 1, true},
		"negative era":      {era: -1},
		"negative revision": {store: -1},
		"era too large":     {era: 1 << 23},
		"too many writes":   {store: 1 << 40},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n, err := revision.New(c.era, c.store)
			if c.good != (err == nil) || !c.good && !errors.Is(err, revision.ErrRange) {
				t.Fatalf("error %v", err)
			}
			if c.good && (revision.Era(n) != c.era || revision.Store(n) != c.store) {
				t.Errorf("era %d, revision %d", revision.Era(n), revision.Store(n))
			}
		})
	}
}
