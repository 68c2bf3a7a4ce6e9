package config_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/stepcroft/stepcroft/internal/config"
	"github.com/stepcroft/stepcroft/internal/port"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "config")
}

func object(kind, name string, version uint64, spec any) port.Object {
	body, err := json.Marshal(spec)
	Expect(err).NotTo(HaveOccurred())
	return port.Object{Kind: kind, Name: name, Version: version, Revision: version, Spec: body}
}

var _ = Describe("Snapshot", func() {
	It("holds the newest version of each object, in whatever order and however often versions arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			var s config.Snapshot
			newest := map[string]uint64{}
			for range rapid.IntRange(1, 40).Draw(t, "objects") {
				name := fmt.Sprintf("o%d", rapid.IntRange(0, 3).Draw(t, "name"))
				version := rapid.Uint64Range(1, 9).Draw(t, "version")
				var err error
				s, err = s.WithObject(object(config.KindOrganisation, name, version, config.Organisation{Name: name, Weight: float64(version)}))
				g.Expect(err).NotTo(HaveOccurred())
				newest[name] = max(newest[name], version)
				o, ok := s.Organisation(name)
				g.Expect(ok).To(BeTrue())
				g.Expect(o.Weight).To(BeNumerically("==", newest[name]))
			}
		})
	})

	It("is not modified by WithObject", func() {
		var empty config.Snapshot
		one, err := empty.WithObject(object(config.KindTemplate, "t", 1, config.Template{Name: "t", Weight: 2}))
		Expect(err).NotTo(HaveOccurred())
		two, err := one.WithObject(object(config.KindOrganisation, "o", 1, config.Organisation{Name: "o", Template: "t"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(empty.Organisations()).To(BeEmpty())
		Expect(one.Organisations()).To(BeEmpty())
		o, _ := two.Organisation("o")
		Expect(o.Weight).To(BeNumerically("==", 2))
		Expect(o.Limits.Queue).To(Equal(config.DefaultQueue))
	})

	It("keeps the last valid version of an object when a newer one is invalid", func() {
		var s config.Snapshot
		s, err := s.WithObject(object(config.KindPool, "p", 1, config.Pool{Name: "p", Policy: "share"}))
		Expect(err).NotTo(HaveOccurred())
		for _, bad := range []port.Object{
			object(config.KindPool, "p", 2, config.Pool{Name: "p", Policy: "luck"}),
			{Kind: config.KindPool, Name: "p", Version: 3, Spec: []byte(`{"name":`)},
		} {
			s, err = s.WithObject(bad)
			Expect(errors.Is(err, config.ErrInvalid)).To(BeTrue())
		}
		p, ok := s.Pool("p")
		Expect(ok).To(BeTrue())
		Expect(p.Policy).To(Equal("share"))
	})

	It("finds organisations by API key until they are deleted", func() {
		var s config.Snapshot
		s, _ = s.WithObject(object(config.KindOrganisation, "o", 1, config.Organisation{Name: "o", Keys: []string{config.HashKey("k")}}))
		o, ok := s.OrganisationByKey("k")
		Expect(ok).To(BeTrue())
		Expect(o.Name).To(Equal("o"))
		s, err := s.WithObject(port.Object{Kind: config.KindOrganisation, Name: "o", Version: 2, Deleted: true})
		Expect(err).NotTo(HaveOccurred())
		_, ok = s.OrganisationByKey("k")
		Expect(ok).To(BeFalse())
	})
})
