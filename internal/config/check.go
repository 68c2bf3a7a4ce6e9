package config

import (
	"strings"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/fair"
)

// Routers validate each object again when they receive it, since an operator may have written
// it without the CLI, which validates before writing.

func checkOrganisation(o Organisation) error {
	if o.Name == "" {
		return errors.Wrap(ErrInvalid, "name is missing")
	}
	if o.Weight < 0 {
		return errors.Wrapf(ErrInvalid, "weight %g is below 0", o.Weight)
	}
	return checkLimits(o.Limits)
}

func checkTemplate(t Template) error {
	if t.Name == "" {
		return errors.Wrap(ErrInvalid, "name is missing")
	}
	if t.Weight < 0 {
		return errors.Wrapf(ErrInvalid, "weight %g is below 0", t.Weight)
	}
	return checkLimits(t.Limits)
}

func checkLimits(l Limits) error {
	if l.Queue < 0 || l.Running < 0 || l.Rate < 0 {
		return errors.Wrap(ErrInvalid, "a limit is below 0")
	}
	return nil
}

func checkPool(p Pool) error {
	if p.Name == "" {
		return errors.Wrap(ErrInvalid, "name is missing")
	}
	if !fair.Known(p.Policy) {
		return errors.Wrapf(ErrInvalid, "policy %q is none of %s", p.Policy, strings.Join(fair.Names(), ", "))
	}
	if p.PromptCost < 0 {
		return errors.Wrapf(ErrInvalid, "prompt_cost %g is below 0", p.PromptCost)
	}
	return nil
}

func checkBox(b Box) error {
	if b.Name == "" || b.Address == "" {
		return errors.Wrap(ErrInvalid, "name or address is missing")
	}
	if b.Role == RoleEngine && (b.Slots < 1 || b.Pool == "") {
		return errors.Wrap(ErrInvalid, "an engine needs a pool and at least 1 slot")
	}
	return nil
}
