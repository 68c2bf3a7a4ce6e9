package storeduty_test

import (
	"iter"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/stepcroft/stepcroft/internal/freshness"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
	"github.com/stepcroft/stepcroft/internal/storeduty"
	"github.com/stepcroft/stepcroft/internal/storewatch"
)

var start = time.Unix(1000, 0)

// rig stands in for all that a monitor depends on, of a router that is alone.
type rig struct {
	*storeduty.Monitor
	table   *routing.Table
	leaving bool
	copies  *freshness.Tracker
	// lines are the messages logged.
	lines []string
}

// newRig returns a rig of a router that follows the configuration, which is too old after a second.
func newRig() *rig {
	r := &rig{table: &routing.Table{}, copies: freshness.New(start, freshness.Limits{message.StoreConfig: time.Second})}
	r.Monitor = storeduty.New(storeduty.Options{
		Catalog: r, Copies: r.copies, Watch: storewatch.New(start, "r", "z"), Fleet: r,
		Log: funcr.New(func(_, args string) {
			_, text, _ := strings.Cut(args, `"msg"="`)
			text, _, _ = strings.Cut(text, `"`)
			r.lines = append(r.lines, text)
		}, funcr.Options{}),
	})
	return r
}

func (r *rig) Table() *routing.Table     { return r.table }
func (*rig) TargetsRevision() int64      { return 1 }
func (*rig) Complete() message.Revisions { return message.Revisions{Config: 1} }
func (*rig) LastHeard() time.Time        { return start }
func (r *rig) Leaving() bool             { return r.leaving }
func (*rig) Running(time.Time) iter.Seq[message.RouterRecord] {
	return slices.Values([]message.RouterRecord{{ID: "r", Zone: "z"}})
}

func TestDuty(t *testing.T) {
	for name, c := range map[string]struct {
		after       time.Duration
		change      func(r *rig)
		watch, read bool
	}{
		"just started":              {after: 0, change: func(*rig) {}},
		"alone":                     {after: 500 * time.Millisecond, change: func(*rig) {}, watch: true},
		"its copy is too old":       {after: time.Minute, change: func(*rig) {}, watch: true, read: true},
		"without a configuration":   {after: time.Minute, change: func(r *rig) { r.table = nil }, watch: true},
		"confirmed by a read":       {after: time.Minute, change: func(r *rig) { r.confirm(time.Minute) }, watch: true},
		"leaving, its copy too old": {after: time.Minute, change: func(r *rig) { r.leaving = true }, read: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig()
			c.change(r)
			now := start.Add(c.after)
			if got := r.Duty(now); got.Watch != c.watch || got.Read[message.StoreConfig] != c.read || got.Read[message.StoreTargets] {
				t.Errorf("%+v, want watch %t, read %t", got, c.watch, c.read)
			}
		})
	}
}

// confirm notes that the store has confirmed the copy.
func (r *rig) confirm(after time.Duration) {
	r.copies.ConfirmByStore(start.Add(after), message.StoreConfig, "store", r.Complete())
}

// TestChangesHaveLines guards against an old copy, or a watch, of which no line tells, and against a line for each tick.
func TestChangesHaveLines(t *testing.T) {
	r := newRig()
	for after := time.Duration(0); after < 4*time.Second; after += 100 * time.Millisecond {
		if after == 2*time.Second {
			r.confirm(after)
		}
		r.Tick(start.Add(after))
	}
	want := []string{"watch of the store begins", "copy of the store is old", "copy of the store is recent", "copy of the store is old"}
	if !slices.Equal(r.lines, want) {
		t.Errorf("logged %q, want %q", r.lines, want)
	}
	got := r.Metrics(start.Add(4 * time.Second))
	if m := got[message.StoreConfig.String()]; len(got) != 1 || m.Revision != 1 || m.AgeMS != 2000 || m.ConfirmedBy != "store" {
		t.Errorf("metrics %+v", got)
	}
}

// TestNextRead guards against a router that nothing wakes as its copy gets too old.
func TestNextRead(t *testing.T) {
	r := newRig()
	latest := start.Add(time.Hour)
	if due := r.NextRead(start, latest); !due.Before(latest) || !due.After(start) {
		t.Error("due at", due)
	}
	if due := r.NextRead(start, start.Add(time.Millisecond)); due != start.Add(time.Millisecond) {
		t.Error("due at", due)
	}
}
