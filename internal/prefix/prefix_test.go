package prefix_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/prefix"
)

func TestPrefix(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "prefix")
}

// prompt returns a prompt of two shared parts with 100 and 1,000 tokens and one part of its
// own.
func prompt(own string) []prefix.Part {
	return []prefix.Part{{ID: "all", Tokens: 100}, {ID: "thing", Tokens: 1000}, {ID: own, Tokens: 50}}
}

var _ = Describe("A cache", func() {
	var c *prefix.Cache
	var now time.Time

	BeforeEach(func() {
		c, now = &prefix.Cache{}, time.Unix(1000, 0)
	})

	It("counts the tokens from the first part on that the engine was not sent", func() {
		Expect(c.UncachedTokens(now, prompt("a"), 1150)).To(Equal(1150))
		c.Add(now, prompt("a"))
		Expect(c.UncachedTokens(now, prompt("a"), 1150)).To(Equal(1))
		Expect(c.UncachedTokens(now, prompt("b"), 1150)).To(Equal(50))
		other := prompt("c")
		other[0].ID = "other"
		Expect(c.UncachedTokens(now, other, 1150)).To(Equal(1150))
	})

	It("regards parts as evicted that were last used long ago", func() {
		c.Add(now, prompt("a"))
		Expect(c.UncachedTokens(now.Add(14*time.Second), prompt("b"), 1150)).To(Equal(50))
		Expect(c.UncachedTokens(now.Add(16*time.Second), prompt("b"), 1150)).To(Equal(1150))
	})

	It("announces shared parts at intervals, and not those that another router announced", func() {
		c.AddRemote(now, []string{"all"})
		c.Add(now, prompt("a"))
		Expect(c.TakeAnnouncements()).To(Equal([]string{"thing"}))
		Expect(c.TakeAnnouncements()).To(BeEmpty())
		c.Add(now.Add(time.Second), prompt("b"))
		Expect(c.TakeAnnouncements()).To(BeEmpty())
		c.Add(now.Add(6*time.Second), prompt("b"))
		Expect(c.TakeAnnouncements()).To(Equal([]string{"all", "thing"}))
	})

	It("regards parts as cached that other routers sent", func() {
		c.AddRemote(now, []string{"all", "thing"})
		Expect(c.UncachedTokens(now, prompt("a"), 1150)).To(Equal(50))
	})

	It("evicts the oldest of very many parts", func() {
		for i := range 2000 {
			c.Add(now.Add(time.Duration(i)*time.Millisecond), []prefix.Part{{ID: fmt.Sprint(i), Tokens: 1}})
		}
		now = now.Add(2 * time.Second)
		Expect(c.UncachedTokens(now, []prefix.Part{{ID: "1999", Tokens: 9}}, 10)).To(Equal(1))
		Expect(c.UncachedTokens(now, []prefix.Part{{ID: "0", Tokens: 9}}, 10)).To(Equal(10))
	})
})
