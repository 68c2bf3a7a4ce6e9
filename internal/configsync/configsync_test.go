package configsync_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/configsync"
	"github.com/stepcroft/stepcroft/internal/group"
	"github.com/stepcroft/stepcroft/internal/invariant"
	"github.com/stepcroft/stepcroft/internal/member"
	"github.com/stepcroft/stepcroft/internal/message"
	"github.com/stepcroft/stepcroft/internal/port"
)

func TestConfigSync(t *testing.T) {
	invariant.Strict()
	RegisterFailHandler(Fail)
	RunSpecs(t, "configsync")
}

// unavailablePlatform is a platform on which every call fails.
type unavailablePlatform struct{}

func (unavailablePlatform) Changes(context.Context, uint64, time.Duration) (port.Changes, error) {
	return port.Changes{}, port.ErrUnavailable
}

func (unavailablePlatform) Object(context.Context, string, string) (port.Object, error) {
	return port.Object{}, port.ErrUnavailable
}

func (unavailablePlatform) Put(context.Context, port.Object) (port.Object, error) {
	return port.Object{}, port.ErrUnavailable
}

func objectsMessage(since, revision, version uint64, weight float64) message.Objects {
	spec, err := json.Marshal(config.Organisation{Name: "water", Weight: weight})
	Expect(err).NotTo(HaveOccurred())
	body, err := json.Marshal(port.Object{
		Kind: config.KindOrganisation, Name: "water", Version: version, Revision: revision, Spec: spec,
	})
	Expect(err).NotTo(HaveOccurred())
	return message.Objects{Since: since, Revision: revision, Objects: [][]byte{body}}
}

var _ = Describe("Syncer", func() {
	var (
		syncer  *configsync.Syncer
		applied chan config.Snapshot
		sent    chan message.Message
		self    = member.Member{ID: "r1"}
		peer    = member.Member{ID: "r2"}
	)

	BeforeEach(func() {
		applied, sent = make(chan config.Snapshot, 9), make(chan message.Message, 9)
		syncer = configsync.New(configsync.Options{
			Platform: unavailablePlatform{}, Self: self, Log: logr.Discard(),
			Apply: func(s config.Snapshot) { applied <- s },
			Live:  func() []member.Member { return []member.Member{self, peer} },
			Send:  func(_ member.Member, m message.Message) { sent <- m },
		})
		g := group.New(context.Background())
		g.GoContext(syncer.Run)
		DeferCleanup(g.Stop)
	})

	next := func() config.Snapshot {
		var s config.Snapshot
		Eventually(applied, "10s").Should(Receive(&s))
		return s
	}

	It("advances its revision only for changes without a gap before them, and never goes back", func() {
		syncer.Receive(peer, objectsMessage(5, 9, 2, 4))
		s := next()
		o, _ := s.Organisation("water")
		Expect(o.Weight).To(BeNumerically("==", 4))
		Expect(s.Revision).To(BeZero())
		syncer.Receive(peer, objectsMessage(0, 9, 2, 4))
		Expect(next().Revision).To(BeNumerically("==", 9))
		syncer.Receive(peer, objectsMessage(0, 7, 1, 3))
		s = next()
		o, _ = s.Organisation("water")
		Expect(o.Weight).To(BeNumerically("==", 4))
		Expect(s.Revision).To(BeNumerically("==", 9))
	})

	It("requests all objects while it has no configuration, and sends objects to a peer that requests them", func() {
		syncer.Receive(peer, message.Report{Revision: 9})
		Eventually(sent, "10s").Should(Receive(Equal(message.Want{})))
		syncer.Receive(peer, objectsMessage(0, 9, 2, 4))
		next()
		syncer.Receive(peer, message.Want{Since: 3})
		var m message.Message
		Eventually(sent, "10s").Should(Receive(&m))
		Expect(m).To(BeAssignableToTypeOf(message.Objects{}))
		Expect(m.(message.Objects).Objects).To(HaveLen(1))
		Expect(m.(message.Objects).Revision).To(BeNumerically("==", 9))
	})
})
