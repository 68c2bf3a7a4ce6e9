package feature_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stepcroft/stepcroft/internal/feature"
)

// TestParse guards against settings that are wrong and silently ignored.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		settings map[string]string
		want     feature.Set
		err      error
	}{
		"nothing":       {},
		"two switches":  {settings: map[string]string{"handover": "on", "pauseBounds": "off"}, want: feature.Set{Handover: feature.On, PauseBounds: feature.Off}},
		"unknown name":  {settings: map[string]string{"handOver": "on"}, err: feature.ErrUnknown},
		"unknown value": {settings: map[string]string{"handover": "true"}, err: feature.ErrValue},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := feature.Parse(test.settings)
			if got != test.want || !errors.Is(err, test.err) {
				t.Fatalf("got %v, %v; want %v, %v", got, err, test.want, test.err)
			}
		})
	}
}

func ExampleSet_With() {
	_, err := feature.Set{}.With("handover", "yes")
	fmt.Println(err)
	// Output: feature handover is "yes": switch is not "auto", "on" or "off"
}
