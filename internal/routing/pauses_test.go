package routing_test

import (
	"testing"
	"time"

	"github.com/stepcroft/stepcroft/internal/routing"
)

// TestTolerance guards against optional decisions being used where one route of a service does not
// accept the pauses that they bring.
func TestTolerance(t *testing.T) {
	route := func(name string, kind routing.Kind, pause time.Duration) routing.Route {
		return routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxPause: pause, Shares: []routing.Share{{Service: "s", Weight: 1}}}
	}
	tests := map[string]struct {
		routes []routing.Route
		want   bool
	}{
		"no streams":       {routes: []routing.Route{route("a", routing.Idempotent, 0)}},
		"all long":         {routes: []routing.Route{route("a", routing.Streaming, 400*time.Millisecond), route("b", routing.Idempotent, 0)}, want: true},
		"one short":        {routes: []routing.Route{route("a", routing.Streaming, 600*time.Millisecond), route("b", routing.Streaming, 300*time.Millisecond)}},
		"one not bounded":  {routes: []routing.Route{route("a", routing.Streaming, 600*time.Millisecond), route("b", routing.Streaming, 0)}},
		"not bounded last": {routes: []routing.Route{route("b", routing.Streaming, 0), route("a", routing.Streaming, 600*time.Millisecond)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, err := routing.New(routing.Spec{Routes: test.routes})
			if err != nil {
				t.Fatal(err)
			}
			if table.ToleratesPauses("s") != test.want || table.AllTolerate() != test.want {
				t.Fatalf("got %v, %v; want %v", table.ToleratesPauses("s"), table.AllTolerate(), test.want)
			}
		})
	}
}
