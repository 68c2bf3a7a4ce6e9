package throttle

import (
	"testing"
	"time"
)

func TestIdleGateIsRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &flow{gate: &Gate{}, lastRejected: now}
	f.gate.Check(RequestSize{})
	f.updateGate(now, 0)
	if f.rejectedLastTick != 1 || f.gate == nil {
		t.Fatalf("%d rejected in the last tick, gate %v", f.rejectedLastTick, f.gate)
	}
	f.updateGate(now.Add(gateIdleTimeout+1), 0)
	if f.gate != nil {
		t.Error("the gate is still set although it rejects nothing")
	}
}
