// Package config represents the configuration that operators keep in the platform's object API
// as immutable snapshots: organisations, the templates with their defaults, pools of engines
// with their fairness policy, and boxes.
package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/stepcroft/stepcroft/internal/port"
)

// Kinds of objects in the platform's object API.
const (
	KindOrganisation = "organisation"
	KindTemplate     = "template"
	KindPool         = "pool"
	KindBox          = "box"
)

// Roles that a box can have.
const (
	RoleRouter  = "router"
	RoleEngine  = "engine"
	RoleService = "service"
)

// ErrInvalid means that an object's content is malformed or violates a constraint.
var ErrInvalid = errors.New("invalid object")

// Limits bound the requests of one organisation at one router. Zero means the template's
// default; zero in a template means the program's default.
type Limits struct {
	// Queue is the maximum number of requests that wait at one router, 1 to 100,000.
	Queue int `json:"queue,omitempty" yaml:"queue,omitempty" validate:"min=0,max=100000"`
	// Running is the maximum number of requests in progress at one router; 0 means no limit.
	Running int `json:"running,omitempty" yaml:"running,omitempty" validate:"min=0,max=100000"`
	// Rate is the maximum number of requests per second that one router accepts; 0 means no
	// limit.
	Rate float64 `json:"rate,omitempty" yaml:"rate,omitempty" validate:"min=0,max=1000000"`
}

// Organisation is one tenant that shares the engines with others.
type Organisation struct {
	Name string `json:"name" yaml:"name" validate:"required,max=63,name"`
	// Template is the name of the template that provides values for the fields not set here.
	Template string `json:"template,omitempty" yaml:"template,omitempty" validate:"omitempty,max=63,name"`
	// Weight is the organisation's share of capacity relative to others, 0.01 to 1,000.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty" validate:"omitempty,min=0.01,max=1000"`
	// Priority orders requests in an engine's queue, 0 to 9; 9 runs first.
	Priority int    `json:"priority,omitempty" yaml:"priority,omitempty" validate:"min=0,max=9"`
	Limits   Limits `json:"limits,omitzero" yaml:"limits,omitempty"`
	// Keys are the hexadecimal SHA-256 hashes of the organisation's API keys.
	Keys []string `json:"keys,omitempty" yaml:"keys,omitempty" validate:"dive,len=64,hexadecimal"`
}

// Template holds default values for the organisations that name it.
type Template struct {
	Name     string  `json:"name" yaml:"name" validate:"required,max=63,name"`
	Weight   float64 `json:"weight,omitempty" yaml:"weight,omitempty" validate:"omitempty,min=0.01,max=1000"`
	Priority int     `json:"priority,omitempty" yaml:"priority,omitempty" validate:"min=0,max=9"`
	Limits   Limits  `json:"limits,omitzero" yaml:"limits,omitempty"`
}

// Pool is a set of engines that serve the same model, with the fairness policy by which
// organisations share them.
type Pool struct {
	// Name is also the model name in callers' requests.
	Name   string `json:"name" yaml:"name" validate:"required,max=63,name"`
	Policy string `json:"policy" yaml:"policy" validate:"required,policy"`
	// PromptCost is the cost of one prompt token, in units of one generated token.
	PromptCost float64 `json:"prompt_cost,omitempty" yaml:"prompt_cost,omitempty" validate:"min=0,max=100"`
}

// Box is one entry of the platform's list of boxes, which lags behind the actual boxes.
type Box struct {
	Name    string `json:"name" yaml:"name" validate:"required,max=63,name"`
	Role    string `json:"role" yaml:"role" validate:"required,oneof=router engine service"`
	Zone    string `json:"zone" yaml:"zone" validate:"required"`
	Address string `json:"address" yaml:"address" validate:"required"`
	// Peer is the address at which a router receives messages from other routers.
	Peer string `json:"peer,omitempty" yaml:"peer"`
	// Pool is the pool that an engine belongs to, or the name of a service.
	Pool string `json:"pool,omitempty" yaml:"pool"`
	// Slots is the number of requests that an engine runs concurrently.
	Slots   int  `json:"slots,omitempty" yaml:"slots" validate:"min=0,max=4096"`
	Leaving bool `json:"leaving,omitempty" yaml:"leaving"`
}

// Kind returns the object kind under which an organisation is stored.
func (Organisation) Kind() string { return KindOrganisation }

// Key returns the object name under which the organisation is stored.
func (o Organisation) Key() string { return o.Name }

// Kind returns the object kind under which a template is stored.
func (Template) Kind() string { return KindTemplate }

// Key returns the object name under which the template is stored.
func (t Template) Key() string { return t.Name }

// Kind returns the object kind under which a pool is stored.
func (Pool) Kind() string { return KindPool }

// Key returns the object name under which the pool is stored.
func (p Pool) Key() string { return p.Name }

// Defaults of the program, used where neither the organisation nor its template sets a value.
// DefaultQueue is in requests.
const (
	DefaultWeight = 1.0
	DefaultQueue  = 1000
)

// HashKey returns the hash under which an API key is stored in the configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is the whole configuration at one revision. It is immutable: the With methods return
// modified copies. The zero value is an empty configuration.
type Snapshot struct {
	Revision      uint64
	organisations map[string]Organisation
	templates     map[string]Template
	pools         map[string]Pool
	boxes         map[string]Box
	// objects are the newest valid versions of all objects as stored, including deleted ones.
	objects map[objectKey]port.Object
	// organisationByKeyHash maps the hash of an API key to the name of its organisation.
	organisationByKeyHash map[string]string
	// boxesByRole holds the boxes of each role, sorted by name.
	boxesByRole map[string][]Box
}

type objectKey struct{ kind, name string }

// WithObject returns a snapshot in which o replaces its older version. If o is not newer than
// the version in s, it is ignored. If o is invalid, the version in s stays and the error wraps
// ErrInvalid.
func (s Snapshot) WithObject(o port.Object) (Snapshot, error) {
	var invalid error
	next := s.WithObjects([]port.Object{o}, func(_ port.Object, err error) { invalid = err })
	return next, invalid
}

// WithObjects is WithObject for many objects; it calls onInvalid for each invalid one.
func (s Snapshot) WithObjects(objects []port.Object, onInvalid func(o port.Object, err error)) Snapshot {
	next := s.clone()
	for _, o := range objects {
		key := objectKey{o.Kind, o.Name}
		if o.Version <= next.objects[key].Version {
			continue
		}
		if err := next.apply(o); err != nil {
			onInvalid(o, errors.Wrapf(err, "%s %q version %d", o.Kind, o.Name, o.Version))
			continue
		}
		next.objects[key] = o
	}
	next.organisationByKeyHash = indexKeys(next.organisations)
	next.boxesByRole = indexRoles(next.boxes)
	return next
}

// clone returns a copy of s whose maps can be modified without changing s. The indexes
// organisationByKeyHash and boxesByRole are shared and must be replaced, not modified.
func (s Snapshot) clone() Snapshot {
	s.organisations = cloneMap(s.organisations)
	s.templates = cloneMap(s.templates)
	s.pools = cloneMap(s.pools)
	s.boxes = cloneMap(s.boxes)
	s.objects = cloneMap(s.objects)
	return s
}

// HasObject reports whether s contains a valid version of an object, deleted or not.
func (s Snapshot) HasObject(kind, name string) bool {
	_, ok := s.objects[objectKey{kind, name}]
	return ok
}

// ObjectsSince returns the objects in s that were written after a revision, in the order of
// their writes.
func (s Snapshot) ObjectsSince(revision uint64) []port.Object {
	var list []port.Object
	for _, o := range s.objects {
		if o.Revision > revision {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b port.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	return list
}

// WithRevision returns a snapshot that is marked as complete up to revision.
func (s Snapshot) WithRevision(revision uint64) Snapshot {
	s.Revision = max(s.Revision, revision)
	return s
}

// apply adds o to the maps of s, which must be a clone. Objects of unknown kinds are ignored.
func (s Snapshot) apply(o port.Object) error {
	switch o.Kind {
	case KindOrganisation:
		return put(s.organisations, o, checkOrganisation)
	case KindTemplate:
		return put(s.templates, o, checkTemplate)
	case KindPool:
		return put(s.pools, o, checkPool)
	case KindBox:
		return put(s.boxes, o, checkBox)
	}
	return nil
}

// put stores o's decoded content in m if check accepts it, or removes o from m if o is deleted.
func put[T any](m map[string]T, o port.Object, check func(T) error) error {
	if o.Deleted {
		delete(m, o.Name)
		return nil
	}
	var v T
	if err := json.Unmarshal(o.Spec, &v); err != nil {
		return errors.Wrap(ErrInvalid, err.Error())
	}
	if err := check(v); err != nil {
		return err
	}
	m[o.Name] = v
	return nil
}

// cloneMap returns a copy of m that is never nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// indexKeys maps the hash of each API key to the organisation's name. If several organisations
// have the same key, the last one by name gets it.
func indexKeys(organisations map[string]Organisation) map[string]string {
	keys := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(organisations)) {
		for _, hash := range organisations[name].Keys {
			keys[hash] = name
		}
	}
	return keys
}

// Organisation returns an organisation with the defaults of its template and of the program
// filled in.
func (s Snapshot) Organisation(name string) (Organisation, bool) {
	o, ok := s.organisations[name]
	if !ok {
		return Organisation{}, false
	}
	t := s.templates[o.Template]
	o.Weight = firstNonZero(o.Weight, t.Weight, DefaultWeight)
	o.Priority = firstNonZero(o.Priority, t.Priority)
	o.Limits.Queue = firstNonZero(o.Limits.Queue, t.Limits.Queue, DefaultQueue)
	o.Limits.Running = firstNonZero(o.Limits.Running, t.Limits.Running)
	o.Limits.Rate = firstNonZero(o.Limits.Rate, t.Limits.Rate)
	return o, true
}

// firstNonZero returns the first value that is not the zero value.
func firstNonZero[T comparable](values ...T) T {
	var zero T
	for _, v := range values {
		if v != zero {
			return v
		}
	}
	return zero
}

// OrganisationByKey returns the organisation that an API key belongs to.
func (s Snapshot) OrganisationByKey(key string) (Organisation, bool) {
	name, ok := s.organisationByKeyHash[HashKey(key)]
	if !ok {
		return Organisation{}, false
	}
	return s.Organisation(name)
}

// Organisations returns the names of all organisations, sorted.
func (s Snapshot) Organisations() []string {
	return slices.Sorted(maps.Keys(s.organisations))
}

// Pool returns a pool by its name.
func (s Snapshot) Pool(name string) (Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Pools returns all pools, sorted by name.
func (s Snapshot) Pools() []Pool {
	return sortedByName(s.pools)
}

func indexRoles(boxes map[string]Box) map[string][]Box {
	roles := map[string][]Box{}
	for _, b := range sortedByName(boxes) {
		roles[b.Role] = append(roles[b.Role], b)
	}
	return roles
}

// Boxes returns all boxes of a role, sorted by name. The caller must not modify the slice.
func (s Snapshot) Boxes(role string) []Box { return s.boxesByRole[role] }

// Box returns a box by its name.
func (s Snapshot) Box(name string) (Box, bool) {
	b, ok := s.boxes[name]
	return b, ok
}

func sortedByName[T any](m map[string]T) []T {
	list := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[name])
	}
	return list
}
