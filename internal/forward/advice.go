package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/httptarget"
)

// advised notes what a target says of itself in the head of an answer, whatever becomes of
// the rest. Who answers that the request was meant for another process is another one.
func (x *run) advised(to balance.Target, a *httptarget.Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return
	}
	if leaves, err := strconv.ParseBool(a.Header.Get(x.dialect.Leaving)); err != nil || !leaves {
		return
	}
	t := x.ticket
	x.loop.Post(func(s *balance.State, now time.Time) {
		if s.Leaves(now, t) {
			x.log.Info("target says that it leaves", "target", to.ID, "born", to.Born, "id", x.ID)
			x.counts.Advised(AdviceLeaving)
		}
	})
}

// Advice is what a target says of itself in an answer.
type Advice string

// The kinds of advice.
const (
	// AdviceLeaving means that the target leaves.
	AdviceLeaving Advice = "leaving"
)
