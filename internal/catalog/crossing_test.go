package catalog_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
)

// TestCrossingCopies guards against a target that stays in use for good although its entry is gone: two copies
// were on their way to a router, and the one that arrived last came from a router that had read the whole list
// again and had never known the target.
func TestCrossingCopies(t *testing.T) {
	now := time.Unix(1000, 0)
	listOf := func(revision int64, names ...string) (list []message.StoredObject) {
		for _, name := range names {
			list = append(list, message.StoredObject{Name: name, Revision: revision, Value: []byte(name)})
		}
		return list
	}
	for name, again := range map[string]int64{"the store lost its history": at(0, 20), "the store came back older": at(1, 10)} {
		t.Run(name, func(t *testing.T) {
			var to, watches, listed *catalog.Catalog
			for _, c := range []**catalog.Catalog{&to, &watches, &listed} {
				*c = catalog.New(codec{}, drainPeriod, entryTTL)
				(*c).SetTargets(now, at(0, 10), listOf(at(0, 10), "a", "b"))
				(*c).SetZones(now, at(0, 10), listOf(at(0, 10), "x", "y"))
			}
			watches.ApplyZones(at(0, 12), []catalog.Change{{StoredObject: listOf(at(0, 12), "drained and back")[0]}})
			listed.SetZones(now, again, listOf(at(0, 10), "y"))
			watches.ApplyTargets(now, at(0, 12), []catalog.Change{{StoredObject: listOf(at(0, 12), "came and went")[0]}})
			listed.SetTargets(now, again, listOf(at(0, 10), "a"))
			need := message.NeedCopy{Revisions: to.Complete()}
			first, second := watches.Copy(now, need), listed.Copy(now, need)
			to.Merge(now, first)
			to.Merge(now, second)
			if _, used := to.Target("b"); used {
				t.Error("a target whose entry is gone is used after the copies")
			}
			to.Merge(now, listed.Copy(now, message.NeedCopy{Revisions: to.Complete()}))
			if _, used := to.Target("came and went"); used || to.CountTargets() != 1 {
				t.Errorf("%v in use as of %d, where the store has only a as of %d", to.Targets(), to.TargetsRevision(), again)
			}
			if zones := to.DrainedZones(); !slices.Equal(zones, []string{"y"}) {
				t.Errorf("%v drained, where the store has only y", zones)
			}
		})
	}
}

// TestListWithoutVisibleChange guards against a zone that stays drained although that was undone: a router that
// lists the store again after both sees no change, and tells nobody.
func TestListWithoutVisibleChange(t *testing.T) {
	for name, lists := range map[string]int64{"the store lost its history": at(0, 20), "the store came back older": at(1, 10)} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			knows, listed := catalog.New(codec{}, drainPeriod, entryTTL), catalog.New(codec{}, drainPeriod, entryTTL)
			for _, c := range []*catalog.Catalog{knows, listed} {
				c.SetZones(now, at(0, 10), nil)
			}
			agrees := knows.Newest()
			knows.ApplyZones(at(0, 12), []catalog.Change{{StoredObject: message.StoredObject{Name: "y", Revision: at(0, 12)}}})
			listed.SetZones(now, lists, nil)
			if listed.Hear(agrees) || listed.Newest() != agrees {
				t.Error("a list without a change is told of, though nobody differs")
			}
			if !listed.Hear(knows.Newest()) || listed.Hear(knows.Newest()) {
				t.Error("a change that the list has skipped is not told of, or twice")
			}
			if listed.Newest().NewerThan(knows.Complete()) {
				knows.Merge(now, listed.Copy(now, message.NeedCopy{Revisions: knows.Complete()}))
			}
			if zones := knows.DrainedZones(); len(zones) > 0 {
				t.Errorf("%v drained, which the store no longer has", zones)
			}
		})
	}
}
