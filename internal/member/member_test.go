package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

var start = time.Unix(1000, 0)

func ids(members []member.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, string(m.ID))
	}
	return out
}

var _ = Describe("Table", func() {
	var t *member.Table

	BeforeEach(func() {
		t = member.New(member.Member{ID: "r1"}, 2*time.Second, start)
		t.SetListed([]config.Box{{Name: "r1"}, {Name: "r2"}, {Name: "r3"}})
	})

	It("counts listed routers as alive until the timeout, then only those that sent a message", func() {
		Expect(ids(t.Live(start))).To(Equal([]string{"r1", "r2", "r3"}))
		t.RecordMessage(member.Member{ID: "r2", Incarnation: 1}, start.Add(time.Second))
		Expect(ids(t.Live(start.Add(2500 * time.Millisecond)))).To(Equal([]string{"r1", "r2"}))
		Expect(ids(t.Live(start.Add(4 * time.Second)))).To(Equal([]string{"r1"}))
	})

	It("adds a router that sends a message before it is listed", func() {
		t.RecordMessage(member.Member{ID: "r9", Incarnation: 1}, start)
		Expect(ids(t.Live(start))).To(ContainElement("r9"))
	})

	It("ignores messages that carry its own ID", func() {
		Expect(t.RecordMessage(member.Member{ID: "r1", Incarnation: 9}, start)).To(BeFalse())
		Expect(ids(t.Live(start))).To(Equal([]string{"r1", "r2", "r3"}))
	})

	It("keeps an incarnation marked as leaving, but not the next one", func() {
		t.RecordMessage(member.Member{ID: "r2", Incarnation: 1, Leaving: true}, start)
		t.RecordMessage(member.Member{ID: "r2", Incarnation: 1}, start)
		Expect(ids(t.Live(start))).NotTo(ContainElement("r2"))
		Expect(t.RecordMessage(member.Member{ID: "r2", Incarnation: 2}, start)).To(BeTrue())
		Expect(ids(t.Live(start))).To(ContainElement("r2"))
		Expect(t.RecordMessage(member.Member{ID: "r2", Incarnation: 1, Leaving: true}, start)).To(BeFalse())
		Expect(ids(t.Live(start))).To(ContainElement("r2"))
	})
})

var _ = Describe("Owner", func() {
	live := func(n int) []member.Member {
		var list []member.Member
		for i := range n {
			list = append(list, member.Member{ID: message.RouterID(fmt.Sprintf("r%d", i)), Zone: fmt.Sprint(i % 3)})
		}
		return list
	}

	It("prefers routers of the engine's zone, and takes any router if the zone has none", func() {
		m, ok := member.Owner("e1", "1", live(9))
		Expect(ok).To(BeTrue())
		Expect(m.Zone).To(Equal("1"))
		_, ok = member.Owner("e1", "nowhere", live(9))
		Expect(ok).To(BeTrue())
		_, ok = member.Owner("e1", "1", nil)
		Expect(ok).To(BeFalse())
	})

	It("moves only the engines of a router that is removed", func() {
		all := live(30)
		less := append(append([]member.Member{}, all[:10]...), all[11:]...)
		for i := range 300 {
			engine := fmt.Sprintf("e%d", i)
			before, _ := member.Owner(engine, fmt.Sprint(i%3), all)
			after, _ := member.Owner(engine, fmt.Sprint(i%3), less)
			if before.ID != "r10" {
				Expect(after.ID).To(Equal(before.ID))
			}
		}
	})

	It("spreads engines evenly", func() {
		counts := map[message.RouterID]int{}
		for i := range 6000 {
			m, _ := member.Owner(fmt.Sprintf("engine-%d", i), fmt.Sprint(i%3), live(30))
			counts[m.ID]++
		}
		for id, n := range counts {
			Expect(n).To(BeNumerically("~", 200, 70), string(id))
		}
	})
})

var _ = Describe("TopAcrossZones", func() {
	list := func(zones ...string) []member.Member {
		var out []member.Member
		for i, z := range zones {
			out = append(out, member.Member{ID: message.RouterID(fmt.Sprintf("r%d", i)), Zone: z})
		}
		return out
	}

	It("takes one of each availability zone before a second of any", func() {
		all := list("a", "a", "a", "a", "a", "b", "c")
		zones := map[string]int{}
		for _, m := range member.TopAcrossZones(4, "key", all) {
			zones[m.Zone]++
		}
		Expect(zones).To(Equal(map[string]int{"a": 2, "b": 1, "c": 1}))
	})

	It("replaces only a router that is removed", func() {
		all := list("a", "b", "c", "a", "b", "c", "a", "b", "c")
		before := member.TopAcrossZones(3, "key", all)
		gone := before[1]
		rest := slices.DeleteFunc(slices.Clone(all), func(m member.Member) bool { return m.ID == gone.ID })
		after := member.TopAcrossZones(3, "key", rest)
		Expect(after).To(ContainElements(before[0], before[2]))
		Expect(after).NotTo(ContainElement(gone))
	})

	It("returns all members if n is larger than the list", func() {
		Expect(member.TopAcrossZones(5, "key", list("a", "b"))).To(HaveLen(2))
		Expect(member.TopAcrossZones(5, "key", nil)).To(BeEmpty())
	})
})

// TestRankCounter checks that RankCounter agrees with TopAcrossZones.
func TestRankCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []member.Member
		for i := range rapid.IntRange(1, 40).Draw(t, "members") {
			list = append(list, member.Member{
				ID: message.RouterID(fmt.Sprint(i)), Zone: fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "zone")),
			})
		}
		key := rapid.StringN(0, 8, 8).Draw(t, "key")
		n := rapid.IntRange(0, 10).Draw(t, "n")
		first := member.TopAcrossZones(n, key, list)
		for _, m := range list {
			s := member.NewRankCounter(key, m.ID, m.Zone)
			for _, other := range list {
				s.Add(other.ID, other.Zone)
			}
			if got, want := s.InTop(n), slices.Contains(first, m); got != want {
				t.Fatalf("%v among the first %d of %v: %t, want %t", m, n, list, got, want)
			}
		}
	})
}

// BenchmarkTopAcrossZones chooses the routers that watch the store in a fleet of
// the target size; each router does that ten times a second.
func BenchmarkTopAcrossZones(b *testing.B) {
	var list []member.Member
	for i := range 630 {
		list = append(list, member.Member{ID: message.RouterID(fmt.Sprint("router-", i)), Zone: fmt.Sprint(i % 11)})
	}
	for b.Loop() {
		member.TopAcrossZones(9, "store", list)
	}
}
