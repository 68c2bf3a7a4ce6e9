package fair

import (
	"math"
	"math/rand/v2"

	"github.com/stepcroft/stepcroft/internal/invariant"
)

const (
	// The share of an organisation that is ahead or behind is corrected so that
	// the gap closes over catchUpViews views, or over catchUpPerViewAge times the
	// view's age if that is longer: a correction shows in the view only after
	// that age, and a faster one overshoots.
	catchUpViews      = 4
	catchUpPerViewAge = 2
	// minBoost and maxBoost bound the factor by which an organisation's share
	// is corrected, so that a wrong account cannot withhold all service from it.
	minBoost = 0.2
	maxBoost = 3
	// minUrgentBoost is the correction above which an organisation is urgent.
	minUrgentBoost = 1.1
	// smoothing is the weight of the newest value in the exponential moving
	// averages of the fleet's service per view and of the cost of a request.
	smoothing = 0.3
	// maxCreditRequests bounds an organisation's credit, in requests of mean cost. It
	// matters if this router finds no request of an organisation for a long time.
	maxCreditRequests = 20
)

// share gives each backlogged organisation a target share of the tokens:
// its weight, corrected for being ahead or behind in the fleet view. Credits
// that are exact and local to the router make it follow these shares. Choosing
// by share, and not the organisation with the least service in a view that is
// seconds old, keeps all routers from serving the same organisation at once.
type share struct {
	random   *rand.Rand
	accounts map[string]*account
	// active are the accounts that earn credit: those of the candidates at the
	// last Pick, and those backlogged in the fleet view. The latter earn credit
	// also while this router knows of no request of theirs that it could serve,
	// so that they lose nothing by its outdated knowledge.
	active []*account
	// fractionSum is the sum of the active accounts' fractions, which is 1.
	fractionSum float64
	// picks counts the calls of Pick.
	picks uint64
	// lastServedCredit is the credit of the organisation picked last, before its
	// charge.
	lastServedCredit float64
	// dispatched is the sum of all charges.
	dispatched float64
	// meanCost is the moving average of the cost of a request.
	meanCost float64
	// serviceRate is the moving average of the service of all backlogged
	// organisations, in cost units per view.
	serviceRate float64
}

// account is the state of one organisation.
type account struct {
	weight float64
	// credit is the service that this router owes it, in cost units.
	credit float64
	// fraction is the part of each charge that it earns as credit while active.
	fraction float64
	active   bool
	// dispatchedWhenInactive is the value of share.dispatched when it became inactive.
	dispatchedWhenInactive float64
	// lastPick is the value of share.picks at the last Pick with it as a candidate.
	lastPick uint64
	// served is its service in the fleet view, divided by its weight.
	served     float64
	backlogged bool
	// boost is the factor that corrects its weight for being ahead or behind.
	boost float64
}

func newShare(r *rand.Rand) *share {
	return &share{
		random:   r,
		meanCost: initialEstimate,
		accounts: map[string]*account{},
	}
}

func (*share) Reach() Reach { return ReachFleet }

func (s *share) Pick(candidates []Candidate) int {
	s.picks++
	for _, c := range candidates {
		a := s.account(c.Organisation)
		a.weight, a.lastPick = c.Weight, s.picks
	}
	s.updateActive(candidates)
	invariant.Check(math.Abs(s.fractionSum-1) < 1e-6, invariant.CreditsBalance)
	best := 0
	for i, c := range candidates {
		if s.accounts[c.Organisation].credit > s.accounts[candidates[best].Organisation].credit {
			best = i
		}
	}
	s.lastServedCredit = s.accounts[candidates[best].Organisation].credit
	return best
}

func (s *share) account(organisation string) *account {
	a := s.accounts[organisation]
	if a == nil {
		a = &account{weight: 1, boost: 1}
		s.accounts[organisation] = a
	}
	return a
}

// updateActive updates the active accounts and their fractions of the charges.
func (s *share) updateActive(candidates []Candidate) {
	top := s.maxActiveCredit(candidates)
	kept := s.active[:0]
	var gone []*account
	for _, a := range s.active {
		if a.lastPick == s.picks || a.backlogged {
			kept = append(kept, a)
			continue
		}
		gone = append(gone, a)
	}
	s.active = kept
	for _, a := range gone {
		s.deactivate(a)
	}
	for _, c := range candidates {
		s.activate(s.accounts[c.Organisation], top)
	}
	s.setFractions()
}

// deactivate makes an account inactive. Its credit above the mean of the accounts
// that stay active is divided among these, since the organisation had no
// requests that would have used it.
func (s *share) deactivate(a *account) {
	a.active, a.dispatchedWhenInactive = false, s.dispatched
	if len(s.active) == 0 {
		return
	}
	mean, weights := 0.0, 0.0
	for _, b := range s.active {
		mean += b.credit / float64(len(s.active))
		weights += b.weight
	}
	surplus := a.credit - mean
	if surplus <= 0 {
		return
	}
	a.credit = mean
	for _, b := range s.active {
		b.credit += surplus * b.weight / weights
	}
}

// activate makes an account active. It is given the credit that it would have
// earned while inactive, up to top: idle time must not put it ahead of the
// others. A new account starts at a random distance below top, so that not all
// routers serve a new organisation at the same moment.
func (s *share) activate(a *account, top float64) {
	if a.active {
		return
	}
	earned := a.fraction * (s.dispatched - a.dispatchedWhenInactive)
	if a.fraction == 0 {
		earned = top - a.credit - s.random.Float64()*s.meanCost
	}
	a.credit = min(a.credit+earned, top)
	a.active = true
	s.active = append(s.active, a)
}

// setFractions computes the fractions of the active accounts, which sum to 1.
func (s *share) setFractions() {
	total := 0.0
	for _, a := range s.active {
		total += a.weight * a.boost
	}
	s.fractionSum = 0
	for _, a := range s.active {
		a.fraction = a.weight * a.boost / total
		s.fractionSum += a.fraction
	}
}

// maxActiveCredit returns the largest credit among the candidates that are
// already active, or the credit of the organisation picked last if none is.
func (s *share) maxActiveCredit(candidates []Candidate) float64 {
	top, known := s.lastServedCredit, false
	for _, c := range candidates {
		a := s.accounts[c.Organisation]
		if a.active && (!known || a.credit > top) {
			top, known = a.credit, true
		}
	}
	return top
}

func (s *share) Charge(organisation string, cost float64) {
	if cost > 0 {
		s.meanCost += smoothing * (cost - s.meanCost)
	}
	s.dispatched += cost
	maxCredit := maxCreditRequests * s.meanCost
	for _, a := range s.active {
		a.credit = min(a.credit+a.fraction*cost, maxCredit)
	}
	s.account(organisation).credit -= cost
}

func (s *share) Urgent(organisation string) bool {
	a := s.accounts[organisation]
	return a != nil && a.backlogged && a.boost > minUrgentBoost
}

func (s *share) Observe(v View) {
	states := v.Organisations
	s.addServed(states)
	total, weights, served := 0.0, 0.0, 0.0
	for _, st := range states {
		if !st.Backlogged {
			continue
		}
		total += st.Weight * s.accounts[st.Organisation].served
		weights += st.Weight
		served += st.Served
	}
	if weights == 0 {
		return
	}
	if s.serviceRate == 0 {
		s.serviceRate = served
	}
	s.serviceRate += smoothing * (served - s.serviceRate)
	mean := total / weights
	span := max(catchUpViews, catchUpPerViewAge*v.Age) * max(s.serviceRate, s.meanCost) / weights
	for _, st := range states {
		a := s.accounts[st.Organisation]
		a.boost = 1
		if span > 0 && a.backlogged {
			a.boost = min(max(1+(mean-a.served)/span, minBoost), maxBoost)
		}
	}
}

// addServed adds the service since the last view. An organisation that has just
// become backlogged is moved into the range of those that already were: it is
// not favoured for idle time, nor penalised for service received while nobody
// else wanted it.
func (s *share) addServed(states []OrganisationState) {
	low, high, known := s.servedRange(states)
	for _, st := range states {
		a := s.account(st.Organisation)
		a.weight = st.Weight
		switch {
		case !st.Backlogged || a.backlogged:
		case known:
			a.served = min(max(a.served, low), high)
		default:
			a.served = 0
		}
		a.backlogged = st.Backlogged
		a.served += st.Served / st.Weight
	}
}

// servedRange returns the range of weighted service of the organisations that
// were backlogged in the last view and still are.
func (s *share) servedRange(states []OrganisationState) (low, high float64, known bool) {
	for _, st := range states {
		a := s.accounts[st.Organisation]
		if a == nil || !a.backlogged || !st.Backlogged {
			continue
		}
		if !known {
			low, high, known = a.served, a.served, true
			continue
		}
		low, high = min(low, a.served), max(high, a.served)
	}
	return low, high, known
}
