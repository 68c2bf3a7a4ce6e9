package ranking_test

import (
	"fmt"

	"github.com/stepcroft/stepcroft/internal/ranking"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
)

func ExampleIndex_First() {
	x := ranking.New(func(id string) string { return id }, rendezvous.Hash)
	x.Add([]string{"c", "a", "b", "d"})
	fmt.Println(x.Members())
	before := x.First(rendezvous.Hash("key"), 2)
	x.Remove(before[0])
	fmt.Println(x.First(rendezvous.Hash("key"), 1)[0] == before[1])
	// Output:
	// [a b c d]
	// true
}
