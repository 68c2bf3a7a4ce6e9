package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
)

// Settings of the machines of a small deployment, from the example in DEPLOY.md.
const (
	memoryMB    = 134
	restartTime = 500 * time.Millisecond
)

// The ports of routers, below those that the kernel gives to outgoing connections. Plays that run beside one
// another begin at different ones.
const (
	firstPort, lastPort = 12000, 32000
	portSteps           = 500
)

// router is a router that runs as a process of its own, with the command of the deploy file.
type router struct {
	name, dir, zone               string
	front, ready, control, lookup string
	firstPort                     int
	storeAddress                  string
	seeds                         []string
	record                        *record

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// stopped is set once the process is not to be started again.
	stopped bool
	starts  int
	// killed counts the times that the process was killed for its memory.
	killed int
	// peakKB is the most memory that was seen.
	peakKB int
}

// freePorts returns n consecutive free ports.
func freePorts(n int) (int, error) {
	for start := firstPort + os.Getpid()%portSteps*n; start < lastPort; start += n {
		free := true
		for p := start; p < start+n && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", p))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			return start, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

func newRouters(rec *record, dir, storeAddress string, zones []string) ([]*router, error) {
	const portsEach = 8
	first, err := freePorts(portsEach * len(zones))
	if err != nil {
		return nil, err
	}
	var list []*router
	var seeds []string
	for i, zone := range zones {
		at := func(n int) string { return fmt.Sprint("127.0.0.1:", first+i*portsEach+n) }
		r := &router{
			name: fmt.Sprintf("front-%d", i+1), dir: dir, zone: zone, front: at(0), ready: at(1), control: at(2), lookup: at(3),
			firstPort: first + i*portsEach + 4, storeAddress: storeAddress, record: rec,
		}
		list, seeds = append(list, r), append(seeds, r.control)
	}
	for _, r := range list {
		r.seeds = seeds
	}
	return list, nil
}

func (r *router) settings() map[string]any {
	return map[string]any{
		"node": r.name, "role": "router", "machineClass": "front", "serves": []string{"front", "control_plane", "registry"},
		"ip": "127.0.0.1", "zone": r.zone, "region": "karaganda",
		"zones":     map[string]string{"hall-north": "karaganda", "hall-south": "karaganda", "hall-civic": "karaganda"},
		"listen":    map[string]string{"front": r.front, "ready": r.ready, "control": r.control, "directory": r.lookup},
		"portRange": []int{r.firstPort, r.firstPort + 3}, "seeds": r.seeds, "bootstrap": r.starts == 0, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "failClosed": false, "revokeMs": 5000,
			"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 52, "recoverS": 12, "pass_ms": 120, "again_s": 7.2, "quotaWindowS": 4, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": r.storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
}

// start starts the process, which is started again when it ends.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	text, err := json.Marshal(r.settings())
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, r.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("target/stepcroft", "serve")
	c.Env = append(os.Environ(), settingsPath+"="+path)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.command, r.ended = c, ended
	r.starts++
	r.record.note("process  %s started, pid %d", r.name, c.Process.Pid)
	background.Go(func() {
		err := c.Wait()
		close(ended)
		r.record.note("process  %s ended: %v", r.name, err)
		time.Sleep(restartTime)
		if err := r.start(); err != nil {
			r.record.say("%s not started again: %v", r.name, err)
		}
	})
	return nil
}

// startsNow returns how often the process has been started.
func (r *router) startsNow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.command != nil {
		_ = r.command.Process.Signal(s)
	}
}

// stop ends the process for good.
func (r *router) stop() {
	r.mu.Lock()
	r.stopped = true
	ended := r.ended
	r.mu.Unlock()
	r.signal(syscall.SIGKILL)
	if ended != nil {
		<-ended
	}
}

// memoryKB returns the resident memory of a process, 0 if it has ended.
func memoryKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// watchMemory kills the process when it exceeds its memory, as the platform does.
func (r *router) watchMemory() {
	for range time.Tick(20 * time.Millisecond) {
		r.mu.Lock()
		pid := 0
		if r.command != nil {
			pid = r.command.Process.Pid
		}
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		kb := memoryKB(pid)
		r.mu.Lock()
		r.peakKB = max(r.peakKB, kb)
		over := kb > memoryMB<<10
		if over {
			r.killed++
		}
		r.mu.Unlock()
		if over {
			r.record.say("platform kills %s: %d MiB of %d MiB in use", r.name, kb>>10, memoryMB)
			r.signal(syscall.SIGKILL)
			time.Sleep(restartTime)
		}
	}
}

// waitReady waits until all routers are ready and have had time to find the engines.
func waitReady(list []*router) error {
	end := clock.Now().Add(15 * time.Second)
	for _, r := range list {
		for !r.isReady() {
			if clock.Now().After(end) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

func (r *router) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + r.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
