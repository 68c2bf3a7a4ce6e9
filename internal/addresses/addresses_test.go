package addresses_test

import (
	"slices"
	"testing"

	"github.com/stepcroft/stepcroft/internal/addresses"
	"github.com/stepcroft/stepcroft/internal/message"
)

func router(address, zone string, capacity float64) message.RouterRecord {
	return message.RouterRecord{Address: address, Zone: zone, Capacity: capacity, Ready: true, State: message.Alive}
}

func TestChoose(t *testing.T) {
	unready, suspected := router("a", "z", 1), router("b", "z", 1)
	unready.Ready, suspected.State = false, message.Suspected
	for name, c := range map[string]struct {
		routers []message.RouterRecord
		regions map[string]string
		want    []string
	}{
		"none":                   {},
		"one that is not ready":  {routers: []message.RouterRecord{unready, suspected, router("c", "z", 1)}, want: []string{"c"}},
		"of its zone":            {routers: []message.RouterRecord{router("a", "y", 1), router("b", "z", 1), router("c", "z", 1)}, want: []string{"b", "c"}},
		"one, and another zone":  {routers: []message.RouterRecord{router("a", "y", 1), router("b", "z", 1), router("c", "x", 1)}, want: []string{"b", "a"}},
		"none in its zone":       {routers: []message.RouterRecord{router("a", "y", 1), router("b", "x", 1), router("c", "x", 1)}, want: []string{"a", "b", "c"}},
		"a small one beside two": {routers: []message.RouterRecord{router("a", "z", 1), router("b", "z", 4), router("c", "z", 2)}, want: []string{"b", "c"}},
		"a small one beside one": {routers: []message.RouterRecord{router("a", "z", 1), router("b", "z", 4)}, want: []string{"b", "a"}},
		"its region first":       {routers: []message.RouterRecord{router("a", "y", 4), router("b", "x", 1)}, regions: map[string]string{"z": "1", "x": "1", "y": "2"}, want: []string{"b"}},
		"none in its region":     {routers: []message.RouterRecord{router("a", "y", 1)}, regions: map[string]string{"z": "1", "y": "2"}, want: []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := addresses.Choose("z", c.regions, c.routers); !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
