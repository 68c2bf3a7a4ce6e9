package gateway_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/catalog"
	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/routing"
)

var _ = Describe("Routers", func() {
	It("get the configuration and the targets from one another", func() {
		a := newRig()
		b := newRig(a.Self().Peer)
		a.configure(spec(1))
		a.serve("t", answer)
		Eventually(b.Ready).Should(BeTrue())
		Eventually(func() int { return b.post("/many/x").Status }).Should(Equal(http.StatusOK))
	})

	It("reject a revoked key although they cannot reach the store", func() {
		a := newRig()
		b := newRig(a.Self().Peer)
		a.configure(spec(1))
		a.serve("t", answer)
		Eventually(func() int { return b.post("/many/x").Status }).Should(Equal(http.StatusOK))
		c := spec(2)
		c.Organisations[0].Keys = []string{"other"}
		a.configure(c)
		Eventually(func() int { return b.post("/many/x").Status }).Should(Equal(http.StatusUnauthorized))
		Consistently(func() int { return b.post("/many/x").Status }, "300ms").Should(Equal(http.StatusUnauthorized))
	})

	It("return the addresses of routers that are ready", func() {
		a := newRig()
		b := newRig(a.Self().Peer)
		ctx := context.Background()
		Expect(a.Addresses(ctx, "z")).To(BeEmpty())
		a.configure(spec(1))
		Eventually(func() []string { return b.Addresses(ctx, "z") }).Should(ConsistOf(a.Self().Address, b.Self().Address))
		background(func() { b.Drain(ctx, stopLimit) })
		Eventually(func() []string { return a.Addresses(ctx, "z") }).Should(ConsistOf(a.Self().Address))
	})

	It("send no new requests to a target that is leaving", func() {
		r := newRig()
		r.configure(spec(1))
		address := r.serve("t", answer)
		Expect(r.post("/many/x").Status).To(Equal(http.StatusOK))
		r.revision++
		leaving := balance.Target{ID: "t", Service: "s", Address: address, Zone: "z", Slots: 4, Leaving: true}
		r.ChangeTargets(r.revision, []catalog.Change{{StoredObject: stored(r.revision, leaving)}})
		Eventually(func() int { return r.post("/many/x").Status }).Should(Equal(http.StatusServiceUnavailable))
	})

	It("undo the drain of a zone that the others' lists never showed", func() {
		a := newRig()
		b := newRig(a.Self().Peer)
		a.configure(spec(1))
		a.serve("t", answer)
		Eventually(func() int { return b.post("/many/x").Status }).Should(Equal(http.StatusOK))
		a.SetZones(10, nil)
		a.SetZones(20, nil)
		b.SetZones(10, nil)
		b.ChangeZones(12, []catalog.Change{{StoredObject: message.StoredObject{Name: "z", Revision: 12}}})
		Eventually(func() int { return b.post("/many/x").Status }).Should(Equal(http.StatusOK))
		Expect(a.post("/many/x").Status).To(Equal(http.StatusOK))
	})

	It("never replace the configuration by an older or invalid one", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", answer)
		c := spec(2)
		c.Routes = c.Routes[:2]
		r.configure(c)
		Eventually(func() int { return r.post("/stream/x").Status }).Should(Equal(http.StatusNotFound))
		old, err := json.Marshal(spec(1))
		Expect(err).NotTo(HaveOccurred())
		r.SetConfig(1, old)
		r.SetConfig(r.revision+1, []byte("{"))
		Consistently(func() int { return r.post("/stream/x").Status }, "200ms").Should(Equal(http.StatusNotFound))
		Expect(r.post("/many/x").Status).To(Equal(http.StatusOK))
	})

	It("apply a change of a route to another service", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", answer)
		c := spec(2)
		c.Services = append(c.Services, routing.Service{Name: "u"})
		c.Routes[1].Shares = []routing.Share{{Service: "u", Weight: 1}}
		r.configure(c)
		Eventually(func() int { return r.post("/many/x").Status }).Should(Equal(http.StatusServiceUnavailable))
	})

	It("watch the store as three of them, and as one more for each that cannot reach it", func() {
		var fleet []*rig
		var boxes []config.Box
		for range 6 {
			r := newRig()
			fleet = append(fleet, r)
			k := r.Self()
			boxes = append(boxes, config.Box{Name: string(k.ID), Zone: k.Zone, Address: k.Address, Peer: k.Peer})
		}
		fleet[0].configure(spec(1))
		fleet[0].serve("t", answer)
		for _, r := range fleet {
			r.SetRouters(boxes)
		}
		for _, r := range fleet {
			Eventually(r.Ready).Should(BeTrue())
		}
		watching := func() []int {
			var list []int
			for i, r := range fleet {
				if r.ShouldWatchStore(context.Background()) {
					list = append(list, i)
				}
			}
			return list
		}
		Eventually(watching, "3s").Should(HaveLen(3))
		failed := watching()[0]
		fleet[failed].StoreFailed(message.StoreConfig)
		Eventually(watching).Should(And(HaveLen(4), ContainElement(failed)))
		By("one kind of calls that works again does not show that the others do")
		fleet[failed].StoreFailed(message.StoreTargets)
		fleet[failed].StoreRecovered(message.StoreTargets)
		Consistently(watching, "500ms").Should(HaveLen(4))
		fleet[failed].StoreRecovered(message.StoreConfig)
		Eventually(watching).Should(HaveLen(3))
		for _, i := range watching() {
			fleet[i].StoreFailed(message.StoreConfig)
		}
		Eventually(watching).Should(HaveLen(6))
	})

	// ranking returns three routers that rank before r for watching the store, and announces
	// them to r.
	rankedBefore := func(r *rig) []*fakeRouter {
		var fakes []*fakeRouter
		for i := 0; len(fakes) < 3; i++ {
			other := member.Member{ID: message.RouterID(fmt.Sprint("w", i)), Zone: "z"}
			if member.TopAcrossZones(1, "store", []member.Member{r.Self(), other})[0].ID == other.ID {
				f := newFakeRouterIn(other.ID, other.Zone)
				f.ping(r, false)
				fakes = append(fakes, f)
			}
		}
		return fakes
	}

	It("watch the store if they have no copy of it, even if others rank before them", func() {
		r := newRig()
		for _, f := range rankedBefore(r) {
			Eventually(func() message.RouterID { return f.lastRecord().ID }).Should(Equal(r.Self().ID))
		}
		Eventually(func() bool { return r.ShouldWatchStore(context.Background()) }).Should(BeTrue())
		r.configure(spec(1))
		r.serve("t", answer)
		Eventually(func() bool { return r.ShouldWatchStore(context.Background()) }).Should(BeFalse())
	})

	It("watch the store in place of one that is suspected", func() {
		r := newRig()
		r.configure(spec(1))
		r.serve("t", answer)
		fakes := rankedBefore(r)
		watches := func() bool { return r.ShouldWatchStore(context.Background()) }
		Eventually(watches).Should(BeFalse())
		record := fakes[1].self
		record.State = message.Suspected
		notice := message.Ping{From: fakes[0].self, Kind: message.PingNotice, Records: []message.RouterRecord{record}}
		Expect(fakes[0].datagrams.Send(r.Self(), notice)).To(BeTrue())
		Eventually(watches).Should(BeTrue())
	})

	It("watch the store as long as they know of no targets", func() {
		a := newRig()
		b := newRig(a.Self().Peer)
		watches := func() bool { return b.ShouldWatchStore(context.Background()) }
		a.configure(spec(1))
		Eventually(b.Ready).Should(BeTrue())
		Eventually(watches).Should(BeTrue())
		a.serve("t", answer)
		Eventually(func() int { return b.post("/many/x").Status }).Should(Equal(http.StatusOK))
	})

	It("wait after their start for updates from others before they watch the store", func() {
		r := newRig()
		Expect(r.ShouldWatchStore(context.Background())).To(BeFalse())
		Eventually(func() bool { return r.ShouldWatchStore(context.Background()) }).Should(BeTrue())
	})
})
