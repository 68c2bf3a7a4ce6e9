package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/quarantine"
)

// part returns the attribute of requests with a part.
func part(id string) quarantine.Attribute { return quarantine.PartOf("s", id) }

// crashParts reports that a target crashed while it began answers to requests with some parts.
func crashParts(s *quarantine.State, now time.Time, target string, ids ...string) {
	for _, id := range ids {
		s.RecordAttributeBreak(now, part(id), "o", target, false)
	}
	s.RecordExit(now, target)
}

// endWell reports that a request with some parts ended well.
func endWell(s *quarantine.State, now time.Time, ids ...string) {
	for _, id := range ids {
		s.RecordEnd(now, []quarantine.Credit{part(id).Credit})
	}
}

func TestPart(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		do func(s *quarantine.State)
		// crashes is the number that counts, and rejected whether the part is rejected, a second
		// after the last crash, which is at second 10.
		crashes  int
		rejected bool
	}{
		"no crash": {do: func(*quarantine.State) {}},
		"two crashes": {crashes: 2, do: func(s *quarantine.State) {
			crashParts(s, at(8), "a", "p")
			crashParts(s, at(10), "b", "p")
		}},
		"three crashes": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			crashParts(s, at(6), "a", "p")
			crashParts(s, at(8), "b", "p")
			crashParts(s, at(10), "c", "p")
		}},
		"three of six that crash at once": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			for i, target := range []string{"a", "b", "c", "d", "e", "f"} {
				crashParts(s, at(10), target, fmt.Sprint("p", i%2), []string{"p", "q"}[i%2])
			}
		}},
		"three of nine that crash at once": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			for i := range 9 {
				crashParts(s, at(10), fmt.Sprint(i), fmt.Sprint("q", i), []string{"p", "q", "r"}[i%3])
			}
		}},
		"a third of an outage": {do: func(s *quarantine.State) {
			for i := range 15 {
				crashParts(s, at(10), fmt.Sprint(i), fmt.Sprint("q", i), []string{"p", "q", "r"}[i%3])
			}
		}},
		"many others crash after it is held back": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			for i, target := range []string{"a", "b", "c"} {
				crashParts(s, at(8+0.9*float64(i)), target, "p")
			}
			s.Updates(at(9.9))
			s.Shared(part("p").Key)
			for i := range 9 {
				s.RecordExit(at(9.9), fmt.Sprint(i))
			}
			s.RecordExit(at(17), "later")
		}},
		"three crashes at once": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			for _, target := range []string{"a", "b", "c"} {
				crashParts(s, at(10), target, "p")
			}
		}},
		"it ends well beside the crashes": {do: func(s *quarantine.State) {
			for i := range 5 {
				now := at(float64(2 * (i + 1)))
				endWell(s, now.Add(-500*time.Millisecond), "p")
				crashParts(s, now, fmt.Sprint(i), "p")
			}
		}},
		"it ended well long before": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			endWell(s, at(1), "p")
			for i := range 3 {
				crashParts(s, at(float64(2*i+6)), fmt.Sprint(i), "p")
			}
		}},
		"one sent after two crashes ends well": {crashes: 1, do: func(s *quarantine.State) {
			crashParts(s, at(5), "a", "p")
			crashParts(s, at(6), "b", "p")
			s.ClearBefore(part("p").Key, at(7))
			crashParts(s, at(10), "c", "p")
		}},
		"one sent before the crashes ends well": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			crashParts(s, at(5), "a", "p")
			crashParts(s, at(6), "b", "p")
			s.ClearBefore(part("p").Key, at(4))
			crashParts(s, at(10), "c", "p")
		}},
		"it ended well elsewhere": {do: func(s *quarantine.State) {
			other := quarantine.New()
			for _, target := range []string{"a", "b", "c"} {
				crashParts(s, at(10), target, "p")
			}
			endWell(other, at(9.5), "p")
			other.Merge(at(10), s.All(at(10)))
			s.Merge(at(10), other.All(at(10)))
		}},
		"an operator holds it while requests end well": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			crashParts(s, at(5), "a", "p")
			s.ClearBefore(part("p").Key, at(6))
			s.Hold(at(10), part("p").Key, "o", "operator")
			endWell(s, at(10), "p")
			s.ClearBefore(part("p").Key, at(9.9))
			other := quarantine.New()
			endWell(other, at(10), "p")
			other.Merge(at(10), s.All(at(10)))
			s.Merge(at(10), other.All(at(10)))
		}},
		"of another service": {do: func(s *quarantine.State) {
			for _, target := range []string{"a", "b", "c"} {
				s.RecordAttributeBreak(at(10), quarantine.PartOf("other", "p"), "o", target, false)
				s.RecordExit(at(10), target)
			}
		}},
		"of many organisations": {crashes: 3, rejected: true, do: func(s *quarantine.State) {
			for i, target := range []string{"a", "b", "c"} {
				s.RecordAttributeBreak(at(10), part("p"), fmt.Sprint("o", i), target, false)
				s.RecordExit(at(10), target)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := quarantine.New()
			c.do(s)
			s.Updates(at(11))
			v, k := s.View(), part("p").Key
			if got := v.RejectedFor(at(11), k) > 0; got != c.rejected {
				t.Errorf("rejected %v, want %v", got, c.rejected)
			}
			if got := v.Crashes(k); got != c.crashes {
				t.Errorf("%d crashes, want %d", got, c.crashes)
			}
		})
	}
}

// TestPartKnownByAll shows that routers which each saw one crash hold the part back together, and
// another that starts afterwards does.
func TestPartKnownByAll(t *testing.T) {
	fleet := make([]*quarantine.State, 4)
	for i := range fleet {
		fleet[i] = quarantine.New()
	}
	for i, s := range fleet[:3] {
		crashParts(s, start, fmt.Sprint("target-", i), "p")
	}
	for _, s := range fleet[:3] {
		fleet[0].Merge(start, s.All(start))
	}
	fleet[0].Updates(start.Add(time.Second))
	if !fleet[0].Shared(part("p").Key) {
		t.Error("the part is not told to all routers")
	}
	fleet[3].Merge(start, fleet[0].AllShared(start))
	for _, i := range []int{0, 3} {
		list := fleet[i].All(start)
		if len(list) != 1 || list[0].Part != "p" || !quarantine.HeldBack(fleet[i].View().Crashes(part("p").Key)) {
			t.Errorf("router %d knows %+v, want the part to be held back", i, list)
		}
	}
}

func TestPartKey(t *testing.T) {
	k := quarantine.PartOf("s", "p").Key
	for name, other := range map[string]quarantine.Key{
		"service":  quarantine.PartOf("t", "p").Key,
		"id":       quarantine.PartOf("s", "q").Key,
		"boundary": quarantine.PartOf("sp", "").Key,
		"content":  quarantine.KeyOf("part", "s", "", []byte("p")),
	} {
		if other == k {
			t.Errorf("another %s gives the same key", name)
		}
	}
}

// TestInherit shows what is known of a part at a service that its requests did not go to before.
func TestInherit(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	from, to := quarantine.PartOf("before", "p"), part("p")
	crash := func(s *quarantine.State, now time.Time, a quarantine.Attribute, trial bool, targets ...string) {
		for _, target := range targets {
			s.RecordAttributeBreak(now, a, "o", target, trial)
			s.RecordExit(now, target)
		}
		s.Updates(now.Add(time.Second))
		s.Shared(a.Key)
	}
	for name, c := range map[string]struct {
		do func(s *quarantine.State)
		// inherits is set if the part is held back as it is inherited at second 20, and trial if it may be sent on trial then.
		inherits, trial bool
	}{
		"nothing is known": {do: func(*quarantine.State) {}},
		"held back":        {inherits: true, trial: true, do: func(s *quarantine.State) { crash(s, at(10), from, false, "a", "b", "c") }},
		"held back a moment ago": {inherits: true, do: func(s *quarantine.State) {
			crash(s, at(17), from, false, "a", "b")
			crash(s, at(18.5), from, false, "c")
		}},
		"trials failed there": {inherits: true, trial: true, do: func(s *quarantine.State) {
			crash(s, at(1), from, false, "a", "b", "c")
			crash(s, at(5), from, true, "d")
			crash(s, at(10), from, true, "e")
			crash(s, at(15), from, true, "f")
		}},
		"ended well here": {do: func(s *quarantine.State) {
			crash(s, at(10), from, false, "a", "b", "c")
			endWell(s, at(19.5), "p")
		}},
		"cleared here": {trial: true, do: func(s *quarantine.State) {
			crash(s, at(10), from, false, "a", "b", "c")
			s.Inherit(at(15), from.Key, to)
			s.ClearBefore(to.Key, at(16))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := quarantine.New()
			c.do(s)
			s.Updates(at(20))
			if got := s.Inherit(at(20), from.Key, to); got != c.inherits {
				t.Errorf("inherits %t, want %t", got, c.inherits)
			}
			if v := s.View(); v.HoldsBack(at(20), to.Key) != c.inherits {
				t.Errorf("held back %t, want %t", v.HoldsBack(at(20), to.Key), c.inherits)
			}
			told := quarantine.New()
			told.Merge(at(20), s.Updates(at(20)))
			if told.View().HoldsBack(at(20), to.Key) != c.inherits {
				t.Errorf("other routers are not told")
			}
			if got := s.StartTrial(at(20), at(30), to.Key); got != c.trial {
				t.Errorf("on trial %t, want %t", got, c.trial)
			}
		})
	}
}
