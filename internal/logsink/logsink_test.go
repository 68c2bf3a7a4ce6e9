package logsink_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/logsink"
)

func TestLogsink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logsink")
}

var _ = Describe("Sink", func() {
	log := func(s *logsink.Sink, n int) {
		for i := range n {
			_, err := fmt.Fprintf(s, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}
	}

	It("writes lines in order, including those still queued when its context ends", func() {
		var out bytes.Buffer
		s := logsink.New(&out, 100, 100)
		log(s, 3)
		g := group.New(context.Background())
		g.GoContext(s.Run)
		g.Stop()
		Expect(out.String()).To(Equal("line 0\nline 1\nline 2\n"))
		Expect(s.Dropped()).To(BeZero())
	})

	It("drops lines beyond the queue or the rate without blocking, and logs how many", func() {
		for name, bounds := range map[string][2]int{"queue": {2, 100}, "rate": {100, 2}} {
			var out bytes.Buffer
			s := logsink.New(&out, bounds[0], bounds[1])
			log(s, 5)
			Expect(s.Dropped()).To(Equal(int64(3)), name)
			g := group.New(context.Background())
			g.GoContext(s.Run)
			g.Stop()
			Expect(strings.Count(out.String(), "\n")).To(Equal(3), name)
			Expect(out.String()).To(ContainSubstring(`"lines":3`), name)
		}
	})

	It("reserves lines for others when there are many high-volume lines", func() {
		var out bytes.Buffer
		s := logsink.New(&out, 100, 10)
		details := 0
		for !s.DetailsFull() {
			log(s, 1)
			details++
		}
		Expect(details).To(Equal(8))
		log(s, 2)
		Expect(s.Dropped()).To(BeZero())
	})
})
