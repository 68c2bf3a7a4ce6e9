package throttle

import (
	"testing"
	"time"
)

func TestIdleGateIsRemoved(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &flow{gate: &Gate{}, refused: now}
	f.gate.Check(RequestSize{})
	f.turn(now, 0)
	if f.lately != 1 || f.gate == nil {
		t.Fatalf("%d refused lately, gate %v", f.lately, f.gate)
	}
	f.turn(now.Add(gateTime+1), 0)
	if f.gate != nil {
		t.Error("the gate stays although it refuses nothing")
	}
}
