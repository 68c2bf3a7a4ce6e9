// Package cpumeter measures which fraction of its cores a process uses, at the ticks of a loop.
package cpumeter

import "time"

const (
	// TicksPerMeasurement is the number of shortest ticks between two measurements; at longer ticks
	// each is one. If these ticks come late by more than lateTicks shortest ticks together, the
	// process itself waits for the processor.
	TicksPerMeasurement = 5
	lateTicks           = 3
)

// Meter measures the fraction of its cores that the process uses. Use New to make one.
type Meter struct {
	cpuTime  func() time.Duration
	cores    float64
	tick     time.Duration
	ticks    int
	lastAt   time.Time
	lastUsed time.Duration
}

// New returns a meter for a number of cores that the process may use. cpuTime returns the processor
// time used since the start; nil if that is unknown, so that nothing is measured. tick is the shortest
// interval of the ticks.
func New(cpuTime func() time.Duration, cores float64, tick time.Duration) *Meter {
	return &Meter{cpuTime: cpuTime, cores: cores, tick: tick}
}

// Restart begins a new measurement, as the interval of the ticks has changed.
func (m *Meter) Restart(now time.Time) {
	if m.cpuTime != nil {
		m.ticks, m.lastAt, m.lastUsed = 0, now, m.cpuTime()
	}
}

// Discard makes the next measurement only begin another one: the processor time used since the last
// one says nothing about how busy the process is.
func (m *Meter) Discard() { m.lastAt = time.Time{} }

// Measure counts a tick that was to come after an interval, and returns the fraction of the cores used
// since the last measurement; false if there is none at this tick. Late ticks count as full use: the
// process had to wait for the processor, however little time it was charged for.
func (m *Meter) Measure(now time.Time, interval time.Duration) (float64, bool) {
	m.ticks++
	perMeasurement := 1
	if interval == m.tick {
		perMeasurement = TicksPerMeasurement
	}
	if m.cpuTime == nil || m.cores <= 0 || m.ticks < perMeasurement {
		return 0, false
	}
	m.ticks = 0
	used := m.cpuTime()
	passed, cpu := now.Sub(m.lastAt), used-m.lastUsed
	begun := !m.lastAt.IsZero() && passed > 0
	m.lastAt, m.lastUsed = now, used
	switch {
	case !begun:
		return 0, false
	case passed > time.Duration(perMeasurement)*interval+lateTicks*m.tick:
		return 1, true
	default:
		return cpu.Seconds() / (passed.Seconds() * m.cores), true
	}
}

// Cores returns the number of cores that the process may use.
func (m *Meter) Cores() float64 { return m.cores }
