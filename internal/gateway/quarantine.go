package gateway

import (
	"context"
	"time"

	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/quarantine"
	"github.com/stepcroft/stepcroft/internal/rendezvous"
	"github.com/stepcroft/stepcroft/internal/roster"
	"github.com/stepcroft/stepcroft/internal/suspectapi"
)

// suspectFleet implements suspects.Fleet.
type suspectFleet struct {
	*roster.Roster
	*Gateway
}

// First implements suspects.Fleet.
func (g suspectFleet) First(now time.Time, k quarantine.Key) message.RouterRecord {
	hash := rendezvous.Hash(k.String())
	first := message.RouterRecord{ID: g.self.ID}
	weight := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(g.self.ID)))
	for r := range g.runningRouters(now) {
		if w := rendezvous.WeightFromHashes(hash, rendezvous.Hash(string(r.ID))); w > weight {
			first, weight = r, w
		}
	}
	return first
}

// Send implements suspects.Fleet.
func (g suspectFleet) Send(to member.Member, m message.Message) { g.sendTo(to, m) }

// NoteDigest implements suspects.Fleet.
func (g suspectFleet) NoteDigest() { g.updateSelf() }

// Restore adds requests that were held back before this router started.
func (g *Gateway) Restore(list []quarantine.Record) { g.suspects.Restore(list) }

// Suspects returns the suspected requests that this router knows.
func (g *Gateway) Suspects(ctx context.Context) []suspectapi.Suspect { return g.suspects.List(ctx) }

// Release is suspects.Account.Release.
func (g *Gateway) Release(ctx context.Context, k quarantine.Key) bool {
	return g.suspects.Release(ctx, k)
}

// Hold is suspects.Account.Hold.
func (g *Gateway) Hold(ctx context.Context, k quarantine.Key, organisation string) bool {
	return g.suspects.Hold(ctx, k, organisation)
}
