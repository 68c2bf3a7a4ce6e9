package suspects_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/memory"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/routehistory"
	"github.com/stepcroft/stepcroft/internal/suspects"
	"github.com/stepcroft/stepcroft/internal/suspicion"
)

// alone is a fleet of one router. Only the control goroutine uses sent.
type alone struct{ sent map[string]int }

func (alone) RandomPeers(time.Time) []string         { return []string{"other"} }
func (alone) Ranked(time.Time, string, int) []string { return nil }
func (alone) NoteDigest()                            {}

func (alone) First(time.Time, quarantine.Key) message.RouterRecord {
	return message.RouterRecord{ID: "r"}
}

func (f alone) Send(to member.Member, m message.Message) {
	if q, ok := m.(message.Quarantine); ok {
		f.sent[to.Peer] += len(q.Records)
	}
}

// listed are targets that are all listed and not leaving.
type listed struct{}

func (listed) Target(id string) (balance.Target, bool) { return balance.Target{ID: id}, true }
func (listed) CountTargets() int                       { return 1 }

// memoryStore keeps what is persisted.
type memoryStore struct {
	mu    sync.Mutex
	saved map[quarantine.Key]bool
}

func (s *memoryStore) Save(r quarantine.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved[r.Key] = true
	return true
}

func (*memoryStore) Delete(quarantine.Key) bool { return true }

type ignoring struct{}

func (ignoring) CountSuspect(quarantine.Record) {}

// TestHeldBackEverywhere guards against a request that targets crash under and that is not refused, not told to other
// routers, not persisted or not shown to operators, and against one that stays held back after its release.
func TestHeldBackEverywhere(t *testing.T) {
	g := group.New(t.Context())
	defer g.Stop()
	loop := balance.NewLoop(balance.New(clock.Now(), "z", balance.Limits{}, rand.New(rand.NewPCG(1, 1))))
	g.GoContext(loop.Run)
	fleet, store, exits := alone{map[string]int{}}, &memoryStore{saved: map[quarantine.Key]bool{}}, 0
	a := suspects.New(suspects.Options{
		Self: "r", Loop: loop, Fleet: fleet, Targets: listed{}, Store: store, Moves: routehistory.New(clock.Now(), time.Minute).Moves(),
		RecordExit: func(*balance.State, time.Time, balance.Target, time.Time) { exits++ }, Counters: ignoring{}, Log: logr.Discard(),
	})
	check := func() *suspicion.Check {
		return suspicion.New(a, suspicion.Request{ID: "1", Organisation: "o", Method: "POST", Host: "h", URI: "/x", Path: "/x", Body: memory.Of([]byte("question"))})
	}
	refused := func() bool {
		_, refused := check().Refuse(t.Context())
		return refused
	}
	final := false
	for i := range 3 {
		if refused() {
			t.Fatalf("refused after %d crashes", i)
		}
		final = check().RecordBreak(t.Context(), balance.Target{ID: fmt.Sprint("t", i)}, true, time.Time{}, true)
	}
	key := check().Attributes()[0].Key
	list := a.List(t.Context())
	if !refused() || !final || len(list) != 1 || !store.saved[key] {
		t.Errorf("refused %t, final %t, listed %+v, saved %v", refused(), final, list, store.saved)
	}
	loop.PostAndWait(t.Context(), func(*balance.State, time.Time) {
		if exits != 3 || fleet.sent["other"] == 0 {
			t.Errorf("%d exits, sent %v", exits, fleet.sent)
		}
	})
	if !a.Release(context.Background(), key) || refused() {
		t.Error("refused after its release")
	}
}
