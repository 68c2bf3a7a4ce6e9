package catalog

import (
	"fmt"

	"github.com/pkg/errors"
)

const (
	// maxIgnored bounds the ignored entries kept between two calls of Ignored. A single list may
	// hold hundreds.
	maxIgnored = 16
	// maxFoundBytes is the length to which names and contents of ignored entries are cut.
	maxFoundBytes = 80
)

// Values of EntryError.Field that the catalog itself uses.
const (
	// FieldBytes stands for an entry that can't be decoded at all, FieldName for the entry's
	// name.
	FieldBytes = "bytes"
	FieldName  = "name"
	// FieldBorn is the target's start time: the entry is a late one of an older incarnation.
	FieldBorn = "born"
	// FieldService is the service of the target, which the configuration doesn't name.
	FieldService = "service"
)

// EntryError says which field makes an entry unusable.
type EntryError struct {
	Field string
	// Found is the content of the field, truncated. It is empty if the field is missing.
	Found string
}

// NewEntryError returns an error for a field with the content found.
func NewEntryError(field, found string) *EntryError {
	return &EntryError{Field: field, Found: found[:min(len(found), maxFoundBytes)]}
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Found == "" {
		return e.Field + " is missing or empty"
	}
	return fmt.Sprintf("%s cannot be used: %q", e.Field, e.Found)
}

// Ignored is an entry that was received and found unusable.
type Ignored struct {
	Name     string
	Revision int64
	EntryError
}

// ignore records an unusable entry. It is called when an entry changes, not each time that the
// entry is received.
func (c *Catalog) ignore(name string, revision int64, err error) {
	entry := &EntryError{}
	if !errors.As(err, &entry) {
		entry = NewEntryError(FieldBytes, err.Error())
	}
	if len(c.ignored) < maxIgnored {
		c.ignored = append(c.ignored, Ignored{Name: name[:min(len(name), maxFoundBytes)], Revision: revision, EntryError: *entry})
	}
	c.ignoredByField[entry.Field]++
}

// Ignored returns the first maxIgnored entries found unusable since the last call, and the
// number of all such entries by field.
func (c *Catalog) Ignored() ([]Ignored, map[string]int) {
	list, by := c.ignored, c.ignoredByField
	c.ignored, c.ignoredByField = nil, map[string]int{}
	return list, by
}
