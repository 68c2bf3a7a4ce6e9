package catalog_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/revision"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// countedCodec decodes a target whose value is the number of times that its process has
// written the entry.
type countedCodec struct{}

func (countedCodec) Table([]byte) (*routing.Table, error) {
	return routing.New(routing.Spec{Version: 1})
}

func (countedCodec) Target(name string, value []byte) (balance.Target, error) {
	n, err := strconv.ParseInt(string(value), 10, 64)
	return balance.Target{ID: name, Service: "s", Born: 1, Writes: n}, errors.Wrap(err, "target")
}

// Guards against a fault in which a target that had left was used again: the store came back
// from a copy that lists the target, and came back from a copy once more before the entry's
// TTL ran out, but the entry was unconfirmed only for the time counted from the first return.
func TestDepartedTargetWhenStoreComesBackTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	k := catalog.New(countedCodec{}, drainPeriod, entryTTL)
	list := func(era, at int64, writes ...string) {
		n, err := revision.New(era, at)
		if err != nil {
			t.Fatal(err)
		}
		var objects []message.StoredObject
		for _, w := range writes {
			objects = append(objects, message.StoredObject{Name: "t", Revision: n, Value: []byte(w)})
		}
		k.SetTargets(now, n, objects)
	}
	used := func() bool {
		k.Settle(now)
		target, found := k.Target("t")
		return found && !target.Leaving
	}
	list(0, 1, "5")
	list(0, 2)
	list(1, 1, "5")
	now = now.Add(entryTTL - time.Second)
	list(2, 1, "5")
	now = now.Add(entryTTL - time.Millisecond)
	if used() {
		t.Error("used before the TTL of its entry has run out")
	}
	now = now.Add(time.Millisecond)
	if !used() {
		t.Error("not used although its entry is still there")
	}
	list(2, 2)
	list(2, 3, "6")
	if !used() {
		t.Error("not used although it has written again")
	}
}
