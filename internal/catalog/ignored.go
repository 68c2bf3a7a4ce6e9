package catalog

import (
	"fmt"

	"github.com/pkg/errors"
)

const (
	// ignoredMost bounds the entries remembered as ignored between two calls of
	// Ignored: a list may hold hundreds of them.
	ignoredMost = 16
	// foundMost bounds what is kept of what an entry holds, in bytes.
	foundMost = 80
)

// Fields that are not an entry's own.
const (
	// FieldBytes stands for an entry that cannot be read at all, FieldName for its
	// name.
	FieldBytes = "bytes"
	FieldName  = "name"
	// FieldBorn is when the target started: an entry of an older incarnation came late.
	FieldBorn = "born"
	// FieldService is the service that the target belongs to.
	FieldService = "service"
)

// EntryError says which field of an entry names no target to use.
type EntryError struct {
	Field string
	// Found is what the field holds, cut to a bound; empty if it is missing.
	Found string
}

// NewEntryError returns an error for a field that holds found.
func NewEntryError(field, found string) *EntryError {
	return &EntryError{Field: field, Found: found[:min(len(found), foundMost)]}
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Found == "" {
		return e.Field + " is missing or empty"
	}
	return fmt.Sprintf("%s cannot be used: %q", e.Field, e.Found)
}

// Ignored is an entry that came and names no target to use.
type Ignored struct {
	Name     string
	Revision int64
	EntryError
}

// ignore notes an entry that names no target to use. Only a change gets here, not
// every answer that holds the entry.
func (c *Catalog) ignore(name string, revision int64, err error) {
	entry := &EntryError{}
	if !errors.As(err, &entry) {
		entry = NewEntryError(FieldBytes, err.Error())
	}
	if len(c.ignored) < ignoredMost {
		c.ignored = append(c.ignored, Ignored{Name: name[:min(len(name), foundMost)], Revision: revision, EntryError: *entry})
	}
	c.ignoredBy[entry.Field]++
}

// Ignored returns the entries that turned out to name no target to use since the
// last call, the first few of them, and how many there were by field.
func (c *Catalog) Ignored() ([]Ignored, map[string]int) {
	list, by := c.ignored, c.ignoredBy
	c.ignored, c.ignoredBy = nil, map[string]int{}
	return list, by
}
