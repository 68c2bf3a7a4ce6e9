package announcement_test

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/announcement"
)

func TestLimiter(t *testing.T) {
	for name, c := range map[string]struct {
		tokens, routers int
		// least and most are the announcements in ten seconds of ten prompts each.
		least, most int
	}{
		"short prompts":            {999, 8, 0, 0},
		"long ones":                {1000, 8, 1, 100},
		"longest, always":          {40_000, 50, 100, 100},
		"in a fleet of fifty":      {10_000, 50, 50, 56},
		"in a fleet of a hundred":  {10_000, 100, 25, 28},
		"in a fleet that is large": {40_000, 126, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := announcement.New(now)
			n := 0
			for range 100 {
				now = now.Add(100 * time.Millisecond)
				if l.Allow(now, c.tokens, c.routers) {
					n++
				}
			}
			if n < c.least || n > c.most {
				t.Errorf("%d announced, want %d to %d", n, c.least, c.most)
			}
		})
	}
}
