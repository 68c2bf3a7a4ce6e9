package waiting

import (
	"slices"
	"time"
)

// Refused holds the requests that were refused early, by organisation, for the time for which they
// would have waited. Until then they count as waiting: otherwise other routers would no longer let
// the organisation go first. The zero value is empty.
type Refused struct {
	until map[string][]time.Time
}

// Add adds a request of an organisation that would have waited until a time. An organisation has at
// most limit of them; the one that ends first is dropped.
func (r *Refused) Add(organisation string, until time.Time, limit int) {
	if r.until == nil {
		r.until = map[string][]time.Time{}
	}
	list := r.until[organisation]
	i, _ := slices.BinarySearchFunc(list, until, time.Time.Compare)
	list = slices.Insert(list, i, until)
	r.until[organisation] = list[max(len(list)-limit, 0):]
}

// Count returns how many requests of an organisation would still wait.
func (r *Refused) Count(now time.Time, organisation string) int {
	list := r.until[organisation]
	past := 0
	for past < len(list) && !now.Before(list[past]) {
		past++
	}
	if past == len(list) {
		delete(r.until, organisation)
		return 0
	}
	if past > 0 {
		r.until[organisation] = list[past:]
	}
	return len(list) - past
}

// Each calls f for each organisation with requests that would still wait.
func (r *Refused) Each(now time.Time, f func(organisation string, n int)) {
	for organisation := range r.until {
		if n := r.Count(now, organisation); n > 0 {
			f(organisation, n)
		}
	}
}
