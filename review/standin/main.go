// Command standin plays the cases under review/ that can't be put as a day of the bench. It starts
// routers with the command of the deploy file, and stand-ins of the platform's store, of engines and of
// clients, which speak what the users' PROTOCOL.md says. It exits with 1 if the rule of the case was
// broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the time after which a case is given up.
const maxTime = 100 * time.Second

// background holds the goroutines of the stand-ins, which end with the process.
var background sync.WaitGroup

// fleet is a small deployment.
type fleet struct {
	store   *store
	routers []*router
	engines []*engine
	record  *record
	// trouble is set unless the case is played without its disruption.
	trouble bool
}

// play is a case. It returns whether its rule was broken.
type play func(f *fleet) (broken bool, err error)

var plays = map[string]play{
	"memory": playMemory,
	"stray":  playStray,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, end, err := newFleet(rec)
	if err != nil {
		rec.say("not run: %v", err)
		return exitNotRun
	}
	defer end()
	result := make(chan int, 1)
	background.Go(func() {
		broken, err := plays[os.Args[1]](f)
		switch {
		case err != nil:
			rec.say("not run: %v", err)
			result <- exitNotRun
		case broken:
			result <- exitBroken
		default:
			result <- exitHeld
		}
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code := <-result:
		rec.say("exit %d", code)
		return code
	case <-ended:
		rec.say("not run: ended by a signal")
		return exitNotRun
	case <-time.After(maxTime):
		rec.say("not run: no end after %s", maxTime)
		return exitNotRun
	}
}

// zones are those of the routers.
var zones = []string{"hall-north", "hall-south", "hall-civic"}

// newFleet starts the store and prepares the routers. end ends all processes.
func newFleet(rec *record) (f *fleet, end func(), err error) {
	dir, err := os.MkdirTemp("", "stepcroft-review-")
	if err != nil {
		return nil, nil, err
	}
	s := newStore()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	background.Go(func() { _ = http.Serve(l, s) })
	routers, err := newRouters(rec, dir, l.Addr().String(), zones)
	if err != nil {
		return nil, nil, err
	}
	f = &fleet{store: s, routers: routers, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	return f, func() {
		for _, r := range routers {
			r.stop()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}, nil
}

// start writes the desired state, starts the routers and waits until they are ready.
func (f *fleet) start(config map[string]any) error {
	f.store.put("config", "main", config)
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			return err
		}
		background.Go(r.watchMemory)
	}
	return waitReady(f.routers)
}

// addEngines starts engines of a service, one in each zone in turn.
func (f *fleet) addEngines(service string, n, slots int, answer answerFunc) error {
	for i := range n {
		e, err := startEngine(f.store, f.record, fmt.Sprintf("i-%s-%d", service, i+1), service, zones[i%len(zones)], slots, answer)
		if err != nil {
			return err
		}
		f.engines = append(f.engines, e)
	}
	return nil
}

// desiredState returns a desired state like that of the site kgd-quote, with some routes of the plain
// service "desk".
func desiredState(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokens_per_s": 390000,
		},
		"tenants": []any{map[string]any{"name": "hule930", fieldKeys: []string{apiKey}, "priority": 1}},
	}
}

// maxBodyBytes is the limit of bodies in the desired state.
const maxBodyBytes = 4194304

func route(prefix, kind string, attempts int, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": "r" + prefix[1:len(prefix)-1], "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(), "goalMs": 1000,
		"priority": 1, "service": "desk", "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}
