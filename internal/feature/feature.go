// Package feature holds the switches of a router's optional decisions. Each is on, off, or left to
// the configuration.
package feature

import (
	"slices"

	"github.com/pkg/errors"
)

// Sentinel errors of Parse.
var (
	// ErrUnknown means that no feature has this name.
	ErrUnknown = errors.New("unknown feature")
	// ErrValue means that a value is none of "auto", "on" and "off".
	ErrValue = errors.New(`switch is not "auto", "on" or "off"`)
)

// Switch says whether a feature is in use. The zero value is Auto.
type Switch int

// The values of a Switch.
const (
	// Auto leaves the decision to the configuration.
	Auto Switch = iota
	On
	Off
)

// Enabled reports whether the feature is in use, where auto is what the configuration says.
func (s Switch) Enabled(auto bool) bool { return s == On || s == Auto && auto }

// Set holds the switches of all features. The zero value leaves all of them to the configuration.
type Set struct {
	// EngineSpeeds compares the speeds of a service's engines.
	EngineSpeeds Switch
	// PauseBounds bounds the pauses of streams and refuses requests that cannot end in time.
	PauseBounds Switch
	// WaitForecasts refuses requests at once that would wait in vain.
	WaitForecasts Switch
	// ReturnSlots spreads the callers that are told to return.
	ReturnSlots Switch
	// Handover hands connections over to other routers when this one is short of processor time.
	Handover Switch
	// AnswerBuffers buffers answers for callers that read slowly.
	AnswerBuffers Switch
}

// names are the names of the features in settings.
var names = map[string]func(*Set) *Switch{
	"engineSpeeds":  func(s *Set) *Switch { return &s.EngineSpeeds },
	"pauseBounds":   func(s *Set) *Switch { return &s.PauseBounds },
	"waitForecasts": func(s *Set) *Switch { return &s.WaitForecasts },
	"returnSlots":   func(s *Set) *Switch { return &s.ReturnSlots },
	"handover":      func(s *Set) *Switch { return &s.Handover },
	"answerBuffers": func(s *Set) *Switch { return &s.AnswerBuffers },
}

var values = map[string]Switch{"auto": Auto, "on": On, "off": Off}

// With returns the set with one feature switched by the names that settings use. It returns
// ErrUnknown or ErrValue.
func (s Set) With(name, value string) (Set, error) {
	field, ok := names[name]
	if !ok {
		return s, errors.Wrapf(ErrUnknown, "feature %q", name)
	}
	v, ok := values[value]
	if !ok {
		return s, errors.Wrapf(ErrValue, "feature %s is %q", name, value)
	}
	*field(&s) = v
	return s, nil
}

// Parse returns the set that settings describe, as a value for each feature's name. Missing ones
// are Auto. It returns ErrUnknown or ErrValue for the first bad entry by name.
func Parse(settings map[string]string) (Set, error) {
	var s Set
	var sorted []string
	for name := range settings {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	for _, name := range sorted {
		var err error
		if s, err = s.With(name, settings[name]); err != nil {
			return Set{}, err
		}
	}
	return s, nil
}
