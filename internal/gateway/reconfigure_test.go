package gateway_test

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/stepcroft/stepcroft/internal/balance"
	"github.com/stepcroft/stepcroft/internal/gateway"
	"github.com/stepcroft/stepcroft/internal/routing"
)

// laterChanges are changes of the configuration under which earlier requests were admitted.
var laterChanges = map[string]func(c *routing.Spec){
	"timeout": func(c *routing.Spec) { eachRoute(c, func(r *routing.Route) { r.Timeout = time.Millisecond }) },
	"kind":    func(c *routing.Spec) { eachRoute(c, func(r *routing.Route) { r.Kind = routing.NonIdempotent }) },
	"service of the routes": func(c *routing.Spec) {
		eachRoute(c, func(r *routing.Route) { r.Shares = []routing.Share{{Service: "other"}} })
	},
	"weights": func(c *routing.Spec) {
		eachRoute(c, func(r *routing.Route) {
			r.Shares = []routing.Share{{Service: "other", Weight: 99}, {Service: "s", Weight: 1}}
		})
	},
	"attempts":             func(c *routing.Spec) { eachRoute(c, func(r *routing.Route) { r.MaxAttempts = 1 }) },
	"resumable":            func(c *routing.Spec) { eachRoute(c, func(r *routing.Route) { r.Resumable = false }) },
	"keys":                 func(c *routing.Spec) { c.Organisations[0].Keys = []string{"other"} },
	"organisation removed": func(c *routing.Spec) { c.Organisations = []routing.Organisation{{Name: "other"}} },
	"service removed":      func(c *routing.Spec) { c.Services = nil },
	"routes removed":       func(c *routing.Spec) { c.Routes = c.Routes[:1] },
	"size of bodies":       func(c *routing.Spec) { c.Limits.BodyBytes = 1 },
}

func eachRoute(c *routing.Spec, f func(r *routing.Route)) {
	for i := range c.Routes {
		f(&c.Routes[i])
	}
}

// admitting returns a configuration under which requests wait for a target for a second.
func admitting(version int64) routing.Spec {
	c := spec(version)
	eachRoute(&c, func(r *routing.Route) { r.Goal = 5 * time.Second })
	return c
}

var _ = Describe("A newer configuration", func() {
	for name, change := range laterChanges {
		// reconfigure returns when the newer configuration is in force.
		reconfigure := func(r *rig) {
			c := admitting(2)
			change(&c)
			r.configure(c)
			r.Addresses(GinkgoT().Context(), "z")
		}

		It("leaves a stream the target that goes on with it: "+name, func() {
			r := newRig()
			r.configure(admitting(1))
			var sends atomic.Int64
			began, changed := make(chan struct{}), make(chan struct{})
			handler := func(w http.ResponseWriter, q *http.Request) {
				if sends.Add(1) > 1 {
					streamer(10, 10, time.Millisecond)(w, q)
					return
				}
				streamer(3, 3, time.Millisecond)(w, q)
				close(began)
				<-changed
				panic(http.ErrAbortHandler)
			}
			r.serve("a", handler)
			r.serve("b", handler)
			got := make(chan reply, 1)
			background(func() { got <- r.post("/stream/x") })
			Eventually(began).Should(BeClosed())
			reconfigure(r)
			close(changed)
			Eventually(got, 5*time.Second).Should(Receive(And(HaveField("Err", BeNil()), HaveField("Body", fullStream(10)))))
		})

		It("leaves a request that waits its target: "+name, func() {
			r := newRig()
			r.configure(admitting(1))
			got := make(chan reply, 1)
			background(func() { got <- r.post("/many/x") })
			time.Sleep(50 * time.Millisecond)
			reconfigure(r)
			r.serve("a", answer)
			Eventually(got, 5*time.Second).Should(Receive(And(HaveField("Status", http.StatusOK), HaveField("Body", "answer"))))
		})

		for framing, length := range framings {
			It("leaves a request its target whose body is still being read, "+framing+": "+name, func() {
				r := newRig()
				r.configure(admitting(1))
				r.serve("a", answer)
				got := r.postSlowly("/many/x", length, func() { reconfigure(r) })
				Expect(got).To(And(HaveField("Err", BeNil()), HaveField("Status", http.StatusOK), HaveField("Body", "answer")))
			})
		}
	}
})

// framings has the Content-Length of the body "question", by how its end is told.
var framings = map[string]int64{"with a length": 8, "in chunks": -1}

// postSlowly sends a request, calls f while half of the body has arrived, and returns the answer.
func (r *rig) postSlowly(path string, length int64, f func()) reply {
	body, end := io.Pipe()
	q := newRequest(r.Self().Address, path)
	q.Body, q.ContentLength, q.GetBody = body, length, nil
	got := make(chan reply, 1)
	background(func() { got <- do(q) })
	_, err := io.WriteString(end, "ques")
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(50 * time.Millisecond)
	f()
	_, err = io.WriteString(end, "tion")
	Expect(err).NotTo(HaveOccurred())
	Expect(end.Close()).To(Succeed())
	var out reply
	Eventually(got, 5*time.Second).Should(Receive(&out))
	return out
}

func renameRoutes(c *routing.Spec) { eachRoute(c, func(r *routing.Route) { r.Name += " renamed" }) }

// passName gives another route the name of that of /many/, and its own regions.
func passName(c *routing.Spec, regions []string) {
	renameRoutes(c)
	c.Routes[0].Name, c.Routes[0].Regions = "many", regions
}

// These guard against requests that lose the regions of their route or organisation if that is removed before a target
// is chosen for them.
var _ = Describe("A request beside a newer configuration", func() {
	here, elsewhere := []string{"here"}, []string{"elsewhere"}
	routeRegions := func(c *routing.Spec, regions []string) {
		eachRoute(c, func(r *routing.Route) { r.Regions = regions })
	}
	for name, c := range map[string]struct {
		route, organisation []string
		change              func(c *routing.Spec)
		served              bool
	}{
		"route removed":                              {elsewhere, nil, laterChanges["routes removed"], false},
		"route removed, region allowed":              {here, here, laterChanges["routes removed"], true},
		"organisation removed":                       {nil, elsewhere, laterChanges["organisation removed"], false},
		"organisation removed, allowed":              {here, here, laterChanges["organisation removed"], true},
		"all removed, by the route":                  {elsewhere, here, func(c *routing.Spec) { *c = routing.Spec{Version: c.Version} }, false},
		"all removed, by the organisation":           {here, elsewhere, func(c *routing.Spec) { *c = routing.Spec{Version: c.Version} }, false},
		"all removed, region allowed":                {here, here, func(c *routing.Spec) { *c = routing.Spec{Version: c.Version} }, true},
		"key revoked":                                {nil, elsewhere, laterChanges["keys"], false},
		"key revoked, region allowed":                {here, here, laterChanges["keys"], true},
		"service changed":                            {elsewhere, nil, laterChanges["service of the routes"], false},
		"service changed, region allowed":            {here, here, laterChanges["service of the routes"], true},
		"limits lowered":                             {elsewhere, nil, laterChanges["size of bodies"], false},
		"limits lowered, region allowed":             {here, here, laterChanges["size of bodies"], true},
		"route narrowed":                             {here, here, func(c *routing.Spec) { routeRegions(c, elsewhere) }, false},
		"organisation narrowed":                      {here, here, func(c *routing.Spec) { c.Organisations[0].Regions = elsewhere }, false},
		"route restricted for the first time":        {nil, nil, func(c *routing.Spec) { routeRegions(c, elsewhere) }, false},
		"route allows all":                           {elsewhere, nil, func(c *routing.Spec) { routeRegions(c, nil) }, true},
		"organisation allows all":                    {nil, elsewhere, func(c *routing.Spec) { c.Organisations[0].Regions = nil }, true},
		"name goes to another route":                 {elsewhere, nil, func(c *routing.Spec) { passName(c, nil) }, false},
		"name goes to another route that is limited": {nil, nil, func(c *routing.Spec) { passName(c, elsewhere) }, true},
		"route renamed":                              {elsewhere, nil, renameRoutes, false},
		"route renamed and narrowed": {here, nil, func(c *routing.Spec) {
			renameRoutes(c)
			routeRegions(c, elsewhere)
		}, false},
		"route renamed, allows all": {elsewhere, nil, func(c *routing.Spec) {
			renameRoutes(c)
			routeRegions(c, nil)
		}, true},
		"route replaced by a wider one": {elsewhere, nil, func(c *routing.Spec) {
			c.Routes = []routing.Route{{Name: "all", Host: "h", Prefix: "/", Shares: c.Routes[0].Shares}}
		}, false},
		"narrower route within it": {here, nil, func(c *routing.Spec) {
			c.Routes = append(c.Routes, routing.Route{Name: "x", Host: "h", Prefix: "/many/x", Shares: c.Routes[0].Shares, Regions: elsewhere})
		}, false},
		"route removed, organisation narrowed": {here, here, func(c *routing.Spec) {
			c.Organisations[0].Regions = elsewhere
			laterChanges["routes removed"](c)
		}, false},
	} {
		// play has post send a request, add the target and change the configuration.
		play := func(post func(r *rig, serve, change func()) reply) {
			r := newRigWithOptions(gateway.Options{Regions: map[string]string{"z": "here"}})
			admitted := admitting(1)
			routeRegions(&admitted, c.route)
			admitted.Organisations[0].Regions = c.organisation
			r.configure(admitted)
			var ran atomic.Int64
			got := post(r, func() {
				r.serve("a", func(w http.ResponseWriter, q *http.Request) {
					ran.Add(1)
					answer(w, q)
				})
			}, func() {
				later := admitted
				later.Version, later.Routes, later.Organisations = 2, slices.Clone(admitted.Routes), slices.Clone(admitted.Organisations)
				c.change(&later)
				r.configure(later)
				r.Addresses(GinkgoT().Context(), "z")
			})
			Expect(got.Err).NotTo(HaveOccurred())
			if c.served {
				Expect(got).To(And(HaveField("Status", http.StatusOK), HaveField("Body", "answer")))
				return
			}
			Expect(ran.Load()).To(BeZero(), "sent outside its regions")
			Expect(got).To(And(HaveField("Status", http.StatusServiceUnavailable), HaveField("Body", string(balance.NoAllowedTarget)+"\n")))
			Expect(got.Header).To(And(HaveKey("Retry-After"), HaveKey(headerNames.RequestID)))
		}
		for framing, length := range framings {
			It("whose body arrives keeps to its regions and is answered, "+framing+": "+name, func() {
				play(func(r *rig, serve, change func()) reply {
					serve()
					return r.postSlowly("/many/x", length, change)
				})
			})
		}
		It("that waits for its first target keeps to its regions and is answered: "+name, func() {
			play(func(r *rig, serve, change func()) reply {
				got := make(chan reply, 1)
				background(func() { got <- r.post("/many/x") })
				time.Sleep(50 * time.Millisecond)
				change()
				serve()
				var out reply
				Eventually(got, 5*time.Second).Should(Receive(&out))
				return out
			})
		})
	}
})

// This guards against requests that get the regions of another route with the same name.
var _ = Describe("Two routes of one name", func() {
	for name, regions := range map[string][2][]string{
		"limits the first":     {{"elsewhere"}, nil},
		"limits the last":      {nil, {"elsewhere"}},
		"limits both":          {{"elsewhere"}, {"here"}},
		"limits both, swapped": {{"here"}, {"elsewhere"}},
	} {
		It("have regions of their own: "+name, func() {
			r := newRigWithOptions(gateway.Options{Regions: map[string]string{"z": "here"}})
			c := spec(1)
			c.Routes = c.Routes[:2]
			for i := range c.Routes {
				c.Routes[i].Name, c.Routes[i].Regions = "one", regions[i]
			}
			r.configure(c)
			r.serve("a", answer)
			for i, route := range c.Routes {
				status := http.StatusOK
				if slices.Contains(regions[i], "elsewhere") {
					status = http.StatusServiceUnavailable
				}
				Expect(r.post(route.Prefix+"x")).To(HaveField("Status", status), route.Prefix)
			}
		})
	}
})

// This guards against targets that are told another organisation than that of the key by which the request was admitted.
var _ = Describe("The organisation that targets are told", func() {
	for name, change := range map[string]func(c *routing.Spec){
		"renamed": func(c *routing.Spec) { c.Organisations = []routing.Organisation{{Name: "p", Keys: []string{"key"}}} },
		"key moves": func(c *routing.Spec) {
			c.Organisations = []routing.Organisation{{Name: "o", Keys: []string{"other"}}, {Name: "p", Keys: []string{"key"}}}
		},
		"goes and comes back": func(c *routing.Spec) {
			c.Organisations = []routing.Organisation{{Name: "p", Keys: []string{"key"}}, {Name: "o", Keys: []string{"other"}}}
		},
	} {
		It("is that of the request's key at its admission: "+name, func() {
			r := newRig()
			r.configure(admitting(1))
			told := make(chan string, 4)
			var sends atomic.Int64
			handler := func(w http.ResponseWriter, q *http.Request) {
				told <- q.Header.Get(headerNames.Organisation)
				if sends.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				answer(w, q)
			}
			first, second := make(chan reply, 1), make(chan reply, 1)
			background(func() { first <- r.post("/many/x") })
			time.Sleep(50 * time.Millisecond)
			c := admitting(2)
			change(&c)
			r.configure(c)
			r.Addresses(GinkgoT().Context(), "z")
			background(func() { second <- r.post("/many/x") })
			time.Sleep(50 * time.Millisecond)
			c = admitting(3)
			r.configure(c)
			r.serve("a", handler)
			r.serve("b", handler)
			Eventually(first, 5*time.Second).Should(Receive(HaveField("Status", http.StatusOK)))
			Eventually(second, 5*time.Second).Should(Receive(HaveField("Status", http.StatusOK)))
			Expect(r.post("/many/x")).To(HaveField("Status", http.StatusOK))
			close(told)
			count := map[string]int{}
			for organisation := range told {
				count[organisation]++
			}
			Expect(count).To(Or(Equal(map[string]int{"o": 3, "p": 1}), Equal(map[string]int{"o": 2, "p": 2})), "one of them was sent twice")
		})
	}
})
