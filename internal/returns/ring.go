package returns

// ring holds the tokens booked in Count slots.
type ring struct {
	first  int64
	tokens [Count]float64
}

// advance clears the slots before one, which have passed.
func (r *ring) advance(to int64) {
	for i := max(r.first, to-Count); i < to; i++ {
		r.tokens[i%Count] = 0
	}
	r.first = max(r.first, to)
}

// add adds to a slot's tokens. Slots that have passed, or come later than all others, are ignored.
func (r *ring) add(slot int64, tokens float64) {
	if slot >= r.first && slot < r.first+Count {
		// What is taken out again may leave a rounding error.
		r.tokens[slot%Count] = max(r.tokens[slot%Count]+tokens, 0)
	}
}

func (r *ring) at(slot int64) float64 { return r.tokens[slot%Count] }

// total returns the tokens of all slots.
func (r *ring) total() float64 {
	sum := 0.0
	for _, tokens := range r.tokens {
		sum += tokens
	}
	return sum
}

// leastFull returns the first slot with the fewest booked tokens from first to last.
func leastFull(booked func(slot int64) float64, first, last int64) int64 {
	least, fewest := first, booked(first)
	for slot := first + 1; slot <= last; slot++ {
		if tokens := booked(slot); tokens < fewest {
			least, fewest = slot, tokens
		}
	}
	return least
}

// booked returns the tokens from the first slot with any to the last, and the former's number.
func (r *ring) booked() (int64, []float64) {
	first, end := r.first, r.first+Count
	for first < end && r.at(first) <= 0 {
		first++
	}
	for end > first && r.at(end-1) <= 0 {
		end--
	}
	tokens := make([]float64, 0, end-first)
	for slot := first; slot < end; slot++ {
		tokens = append(tokens, r.at(slot))
	}
	return first, tokens
}

// average averages what was started over the last averagedSlots complete slots.
type average struct {
	tokens [averagedSlots + 1]float64
	// since is the slot of the first start after a time without any, last that of the latest.
	since, last int64
	begun       bool
}

// add adds tokens started in a slot.
func (a *average) add(slot int64, tokens float64) {
	if !a.begun || slot-a.last > averagedSlots {
		*a = average{since: slot, last: slot, begun: true}
	}
	a.advance(slot)
	a.tokens[slot%int64(len(a.tokens))] += tokens
}

func (a *average) advance(to int64) {
	for i := max(a.last+1, to-averagedSlots); i <= to; i++ {
		a.tokens[i%int64(len(a.tokens))] = 0
	}
	a.last = max(a.last, to)
}

// perSlot returns the mean of the complete slots since starts began, at most averagedSlots, or 0 if
// there is none or nothing was started then.
func (a *average) perSlot(current int64) float64 {
	slots := min(current-a.since, averagedSlots)
	if !a.begun || slots <= 0 || current-a.last > averagedSlots {
		return 0
	}
	total := 0.0
	for i := max(current-slots, a.last-averagedSlots, 0); i < min(current, a.last+1); i++ {
		total += a.tokens[i%int64(len(a.tokens))]
	}
	return max(total, 0) / float64(slots)
}
