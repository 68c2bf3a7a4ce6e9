package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/rollout"
)

// TestEndIsRecordedAgain guards against a roll-out whose end only the routers that ran then know, since the
// store came back from a copy without it: routers that start later send requests to a version that was rolled
// back.
func TestEndIsRecordedAgain(t *testing.T) {
	for _, end := range []rollout.State{rollout.RolledBack, rollout.Complete} {
		for _, copied := range []rollout.State{"", rollout.Serving} {
			t.Run(fmt.Sprintf("%s, the copy has %q", end, copied), func(t *testing.T) {
				now := time.Unix(1000, 0)
				tracker := rollout.New(exposure, func() float64 { return 0.5 })
				order := rollout.Order{Service: "s", Version: "v2", Duration: duration, State: end, Revision: 7}
				tracker.SetOrders(now, []rollout.Order{order})
				if list := tracker.Decide(now); len(list) > 0 {
					t.Fatalf("%+v written although the store has it", list)
				}
				order.State, order.Revision = copied, 9
				tracker.SetOrders(now, []rollout.Order{order})
				var list []rollout.Decision
				for range 20 {
					now = now.Add(step)
					list = append(list, tracker.Decide(now)...)
				}
				if len(list) != 1 || list[0].State != end || list[0].Revision != 9 {
					t.Fatalf("written after the store came back older: %+v, want %s once", list, end)
				}
				order.State, order.Revision = end, 10
				tracker.SetOrders(now, []rollout.Order{order})
				if list := tracker.Decide(now.Add(time.Minute)); len(list) > 0 {
					t.Errorf("%+v written although the store has it again", list)
				}
			})
		}
	}
}

// TestRoutersAgreeOnEndRecordedLater has a router that started after the store had lost the end of a roll-out
// record another end, which operators then act on.
func TestRoutersAgreeOnEndRecordedLater(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := rollout.New(exposure, func() float64 { return 0 })
	order := rollout.Order{Service: "s", Version: "v2", Duration: duration, State: rollout.RolledBack}
	tracker.SetOrders(now, []rollout.Order{order})
	order.State = rollout.Serving
	tracker.SetOrders(now, []rollout.Order{order})
	order.State = rollout.Complete
	tracker.SetOrders(now, []rollout.Order{order})
	if !tracker.Allows(now, "s", "v2", "r") || tracker.RolledBack("s", "v2") {
		t.Error("the version gets no requests although its roll-out is recorded as complete")
	}
}

// TestRolledBackInEarlierEra guards against trying a version again that was rolled back, since the store came
// back from a copy without the order, and the operators wrote that again.
func TestRolledBackInEarlierEra(t *testing.T) {
	for name, c := range map[string]struct {
		era  int64
		want bool
	}{
		"the store lost the order":           {era: 1},
		"the operators ordered it once more": {era: 0, want: true},
		"the store lost the order twice":     {era: 2},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := rollout.New(exposure, func() float64 { return 0 })
			at := func(era, store int64) int64 {
				n, err := revision.New(era, store)
				if err != nil {
					t.Fatal(err)
				}
				return n
			}
			order := rollout.Order{Service: "s", Version: "v2", Duration: duration, State: rollout.RolledBack, Revision: at(0, 7)}
			tracker.SetOrders(now, []rollout.Order{order})
			for range max(c.era, 1) {
				tracker.SetOrders(now, nil)
			}
			order.State, order.Revision = "", at(c.era, 8)
			tracker.SetOrders(now, []rollout.Order{order})
			allowed := false
			for i := range 1000 {
				allowed = allowed || tracker.Allows(now, "s", "v2", fmt.Sprint(i))
			}
			if allowed != c.want {
				t.Errorf("requests are sent to it: %v, want %v", allowed, c.want)
			}
		})
	}
}
