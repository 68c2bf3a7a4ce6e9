package answerbuffer

const (
	// maxAnswer is the most that is buffered for one answer, in bytes. An answer of 1,000 events
	// of 200 bytes fits in it.
	maxAnswer = 256 << 10
	// organisationPart is the divisor of the whole that one organisation may use at most.
	organisationPart = 4
)

// accounts counts the bytes that wait, by answer, organisation and router. It is not safe for
// concurrent use.
type accounts struct {
	// limit bounds bytes, the sum of all organisations. peak is the highest sum so far.
	limit, bytes, peak int64
	organisations      map[string]*organisation
}

// organisation is what one organisation uses.
type organisation struct {
	name  string
	bytes int64
	// open is the number of its buffers that are in use.
	open int
	// waiting has those of them in which a piece waits for room that others use, in order of
	// arrival.
	waiting []*Buffer
}

// open returns the account of an organisation that opens a buffer.
func (a *accounts) open(name string) *organisation {
	o := a.organisations[name]
	if o == nil {
		o = &organisation{name: name}
		a.organisations[name] = o
	}
	o.open++
	return o
}

// close ends the use of one of an organisation's buffers. Its bytes must have been removed.
func (a *accounts) close(o *organisation) {
	o.open--
	if o.open == 0 {
		delete(a.organisations, o.name)
	}
}

// fits reports whether an organisation may use n bytes more. It may not use more than its part of
// the whole, nor more than what is then left to the others. When the whole is nearly used up, the
// organisation with the most bytes is therefore the first to wait, and one that uses less than is
// free never waits: with k organisations that take all they get, the whole divided by k+1 stays
// free.
func (a *accounts) fits(o *organisation, n int64) bool {
	used := o.bytes + n
	return used <= a.limit/organisationPart && used <= a.limit-a.bytes-n
}

func (a *accounts) add(o *organisation, n int64) {
	o.bytes += n
	a.bytes += n
	a.peak = max(a.peak, a.bytes)
}

func (a *accounts) remove(o *organisation, n int64) {
	o.bytes -= n
	a.bytes -= n
}

// nextWaiting returns the organisation with the fewest bytes of those with waiting buffers whose first
// piece has room, nil if there is none. A large piece that has none does not hold up others.
func (a *accounts) nextWaiting() *organisation {
	var least *organisation
	for _, o := range a.organisations {
		if len(o.waiting) == 0 || !a.fits(o, int64(len(o.waiting[0].held))) {
			continue
		}
		if least == nil || o.bytes < least.bytes || o.bytes == least.bytes && o.name < least.name {
			least = o
		}
	}
	return least
}
