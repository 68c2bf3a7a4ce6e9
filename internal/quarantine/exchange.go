package quarantine

import "time"

const (
	// askPause is the least time between requests for all that another router knows of
	// suspected requests. Each that brings nothing doubles it, up to askPauseMost:
	// routers that each had to forget another part never agree.
	askPause     = 250 * time.Millisecond
	askPauseMost = 30 * time.Second
)

// Fleet says which routers there are, by the addresses at which they hear of suspected
// requests.
type Fleet interface {
	// Few returns a few other routers, drawn at random.
	Few(now time.Time) []string
}

// Parcel is what one router is to be told.
type Parcel struct {
	To      string
	Records []Record
}

// Exchange decides which routers hear of the requests that a State suspects. Use
// NewExchange to make one; it is driven by the goroutine that drives the State.
type Exchange struct {
	state *State
	fleet Fleet
	// asked is when another router was last asked for all that it knows, pause for how
	// long none is asked then.
	asked time.Time
	pause time.Duration
}

// NewExchange returns an exchange of what a state suspects.
func NewExchange(s *State, f Fleet) *Exchange { return &Exchange{state: s, fleet: f} }

// Found returns what is newly known because of what happened at this router, and who is to
// be told of it.
func (x *Exchange) Found(now time.Time) ([]Record, []Parcel) {
	news := x.state.News(now)
	return news, x.flood(now, news)
}

// Heard takes in what another router knows, and returns what of it is news here and who is
// to be told.
func (x *Exchange) Heard(now time.Time, list []Record) ([]Record, []Parcel) {
	before := x.state.Digest()
	x.state.Merge(now, list)
	if x.state.Digest() != before {
		x.pause = askPause
	}
	news := x.state.News(now)
	return news, x.flood(now, news)
}

// flood tells a few others, who do the same.
func (x *Exchange) flood(now time.Time, list []Record) []Parcel {
	if len(list) == 0 {
		return nil
	}
	var out []Parcel
	for _, to := range x.fleet.Few(now) {
		out = append(out, Parcel{To: to, Records: list})
	}
	return out
}

// Differs reports whether to ask a router for all that it knows, given its digest. News
// reach nearly all at once; this is for who was away, or missed them.
func (x *Exchange) Differs(now time.Time, digest uint64) bool {
	if digest == x.state.Digest() || digest == 0 || now.Sub(x.asked) < x.pause {
		return false
	}
	x.asked = now
	x.pause = min(max(2*x.pause, askPause), askPauseMost)
	return true
}

// All returns what a router is told that asks for all.
func (x *Exchange) All(now time.Time) []Record { return x.state.All(now) }
