// Package settings reads the YAML files that operators write. It reports all faults of a file at
// once, each with its file, line and field and with the values that are allowed.
package settings

import (
	"net"
	"net/netip"
	"time"
)

// Router is the settings file of one router.
type Router struct {
	// ID is the router's name in the fleet, the same as in the platform's list of boxes.
	ID   string `yaml:"id" validate:"required,max=63,name"`
	Zone string `yaml:"zone" validate:"required,max=63,name"`
	// Listen is the IP address and port for requests of callers.
	Listen string `yaml:"listen" validate:"required"`
	// PeerListen is the IP address and port for messages of other routers.
	PeerListen string `yaml:"peer_listen" validate:"required"`
	// AdminListen is the IP address and port for metrics. If it is empty, metrics are not served.
	AdminListen string `yaml:"admin_listen"`
	// Platform is the IP address and port of the platform's object API.
	Platform string `yaml:"platform" validate:"required"`
	// ReportPeriod is the interval between the router's reports to the other routers.
	ReportPeriod Duration `yaml:"report_period" validate:"omitempty,min=100000000,max=10000000000"`
	// Timeout is the time without a report after which another router counts as dead.
	Timeout Duration `yaml:"timeout" validate:"omitempty,min=300000000,max=60000000000"`
	// MaxWaiting is the maximum number of requests queued at this router.
	MaxWaiting int `yaml:"max_waiting" validate:"min=0,max=1000000"`
	// MaxConnections is the maximum number of open connections from callers.
	MaxConnections int `yaml:"max_connections" validate:"min=0,max=1000000"`
	// DrainTimeout limits the time that a planned shutdown takes; 0 means two minutes.
	DrainTimeout Duration `yaml:"drain_timeout" validate:"min=0,max=3600000000000"`
	Log          Log      `yaml:"log"`
}

// Log configures the router's log.
type Log struct {
	// Format is text or json.
	Format string `yaml:"format" validate:"omitempty,oneof=text json"`
	// Level is the verbosity: 0 logs ordinary events, 1 also a line for each request.
	Level int `yaml:"level" validate:"min=0,max=4"`
}

// Check implements Checker: it checks the addresses and the rules between fields.
func (r Router) Check() []Problem {
	var problems []Problem
	problems = checkAddress(problems, "listen", r.Listen)
	problems = checkAddress(problems, "peer_listen", r.PeerListen)
	problems = checkAddress(problems, "admin_listen", r.AdminListen)
	problems = checkAddress(problems, "platform", r.Platform)
	if r.Listen != "" && r.Listen == r.PeerListen && !hasPortZero(r.Listen) {
		problems = append(problems, Problem{"peer_listen", "is the same address as listen"})
	}
	if r.Timeout != 0 && r.ReportPeriod != 0 && r.Timeout < 2*r.ReportPeriod {
		problems = append(problems, Problem{"timeout", "is below twice report_period, " + (2 * time.Duration(r.ReportPeriod)).String()})
	}
	return problems
}

// checkAddress appends a problem to problems if the address is set but not valid.
func checkAddress(problems []Problem, field, address string) []Problem {
	if address == "" {
		return problems
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return append(problems, Problem{field, `"` + address + `" is no IP number and port, such as 10.0.0.1:8080`})
	}
	return problems
}

// hasPortZero reports whether the address has port 0, for which the system chooses a free port.
func hasPortZero(address string) bool {
	_, port, err := net.SplitHostPort(address)
	return err == nil && port == "0"
}
