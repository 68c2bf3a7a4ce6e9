package control

import "time"

// Counts are running totals of what the control state has done.
type Counts struct {
	// Local is the number of requests dispatched without a message.
	Local int64 `json:"local"`
	// Granted is the number of slots offered to other routers.
	Granted int64 `json:"granted"`
	// GrantsDeclined is the number of those that came back unused.
	GrantsDeclined int64 `json:"grants_declined"`
	// Declined is the number of other routers' slots not used here.
	Declined int64 `json:"declined"`
	// Substituted is the number of times that another organisation's request
	// was run on a granted slot, since the one it was for had none left.
	Substituted int64 `json:"substituted"`
	// TooLate is the number of requests refused since they could not be
	// expected to end before their deadline.
	TooLate int64 `json:"too_late"`
	// Asked is the number of times work was announced to another router.
	Asked int64 `json:"asked"`
	// Announced is the number of times another router was told of free slots
	// between reports.
	Announced int64 `json:"announced"`
	// LostSlots is the number of slots that owners asked about and that were
	// not held here.
	LostSlots int64 `json:"lost_slots"`
	// StaleSlots is the number of answers for slots no longer in use.
	StaleSlots int64 `json:"stale_slots"`
	// StaleMessages is the number of messages from earlier incarnations.
	StaleMessages int64 `json:"stale_messages"`
}

// Status is a picture of the state for metrics and operators.
type Status struct {
	Counts
	Waiting  int           `json:"waiting"`
	Running  int           `json:"running"`
	Engines  int           `json:"engines"`
	Used     int           `json:"used"`
	Routers  int           `json:"routers"`
	ViewAge  time.Duration `json:"view_age_ns"`
	Revision uint64        `json:"revision"`
	Leaving  bool          `json:"leaving"`
}

// Status returns a picture of the state.
func (s *State) Status(now time.Time) Status {
	return Status{
		Counts:   s.counts,
		Waiting:  s.waiting,
		Running:  len(s.running),
		Engines:  len(s.slots.Owned()),
		Used:     s.slots.InUse(),
		Routers:  len(s.members.Live(now)),
		ViewAge:  s.view.Age(now),
		Revision: s.snapshot.Revision,
		Leaving:  s.leaving,
	}
}
