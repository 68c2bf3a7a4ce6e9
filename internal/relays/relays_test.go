package relays_test

import (
	"context"
	"iter"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/stepcroft/stepcroft/internal/feature"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/ingress"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/relays"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// server is a Server that only keeps what EndReceived was last called with.
type server struct {
	relays.Server
	staying map[netip.Addr]bool
}

func (*server) HandOver(ingress.Handover)                 {}
func (s *server) EndReceived(staying map[netip.Addr]bool) { s.staying = staying }
func (*server) ServeReceived(net.Listener) error          { return nil }

// fleet is a Roster of a router at 127.0.0.1 and others.
type fleet struct{ running, leaving []message.RouterRecord }

func (fleet) Self() message.RouterRecord { return router("127.0.0.1", "z") }

func (f fleet) Each(time.Time) iter.Seq[message.RouterRecord] {
	return slices.Values(append(f.running, f.Self()))
}

func (f fleet) Leaving(time.Time) iter.Seq[message.RouterRecord] { return slices.Values(f.leaving) }

func router(host, zone string) message.RouterRecord {
	return message.RouterRecord{ID: message.RouterID(host), Zone: zone, Peer: host + ":1"}
}

func newRelays(t *testing.T, s feature.Switch, f fleet) (*relays.Relays, *server) {
	t.Helper()
	g := group.New(context.Background())
	t.Cleanup(g.Stop)
	out := &server{}
	return relays.New(relays.Options{
		Group: g, Server: out, Roster: f, Switch: s, PeerListen: "127.0.0.1:0", Peer: "127.0.0.9:1", Cores: 1, Utilisation: func() float64 { return 0 }, Log: logr.Discard(),
	}), out
}

func emptyTable(t *testing.T) *routing.Table {
	t.Helper()
	table, err := routing.New(routing.Spec{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestAnnouncedOnlyIfEnabled guards against connections that other routers hand over before this one may serve them, or
// though handing over is off.
func TestAnnouncedOnlyIfEnabled(t *testing.T) {
	for name, c := range map[string]struct {
		setting feature.Switch
		table   *routing.Table
		want    bool
	}{
		"on":                            {feature.On, emptyTable(t), true},
		"on, but without configuration": {feature.On, nil, false},
		"off":                           {feature.Off, emptyTable(t), false},
		"left to the configuration":     {feature.Auto, emptyTable(t), false},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := newRelays(t, c.setting, fleet{})
			r.Update(time.Now(), c.table, false, func() map[string]bool { return nil })
			if got := r.Announced(); strings.HasPrefix(got, "127.0.0.9:") != c.want || (got == "") == c.want {
				t.Errorf("announced %q", got)
			}
		})
	}
}

// TestHostOfLeavingRouterDoesNotStay guards against connections of leaving routers that stay open, and against those of
// other zones that are ended.
func TestHostOfLeavingRouterDoesNotStay(t *testing.T) {
	near, far := router("10.0.0.1", "z"), router("10.0.0.2", "y")
	for name, c := range map[string]struct {
		fleet fleet
		want  []string
	}{
		"none leaves":              {fleet: fleet{running: []message.RouterRecord{near, far}}},
		"one of another zone":      {fleet: fleet{running: []message.RouterRecord{near}, leaving: []message.RouterRecord{far}}},
		"one of this zone":         {fleet: fleet{running: []message.RouterRecord{far}, leaving: []message.RouterRecord{near}}, want: []string{"10.0.0.2", "127.0.0.1"}},
		"another runs at its host": {fleet: fleet{running: []message.RouterRecord{near, far}, leaving: []message.RouterRecord{near}}, want: []string{"10.0.0.2", "127.0.0.1"}},
	} {
		t.Run(name, func(t *testing.T) {
			r, s := newRelays(t, feature.On, c.fleet)
			r.Update(time.Now(), emptyTable(t), false, func() map[string]bool { return nil })
			var got []string
			for host := range maps.Keys(s.staying) {
				got = append(got, host.String())
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("staying %v, want %v", got, c.want)
			}
		})
	}
}
