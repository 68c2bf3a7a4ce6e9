package control

import "time"

// Counts are totals since the router's start.
type Counts struct {
	// LocalDispatches is the number of requests dispatched to engines that this
	// router owns.
	LocalDispatches int64 `json:"local"`
	// Granted is the number of slots granted to other routers.
	Granted int64 `json:"granted"`
	// GrantsDeclined is the number of slots that other routers declined.
	GrantsDeclined int64 `json:"grants_declined"`
	// Declined is the number of slots granted by other routers and declined here.
	Declined int64 `json:"declined"`
	// Substituted is the number of slots granted by other routers for one
	// organisation and used for another, as no request of the first could run.
	Substituted int64 `json:"substituted"`
	// TooLate is the number of requests refused because they were not expected
	// to end before their deadline.
	TooLate int64 `json:"too_late"`
	// AsksSent is the number of messages that asked another router for a slot.
	AsksSent int64 `json:"asked"`
	// AnnouncementsSent is the number of messages sent between reports that
	// announced free slots to another router.
	AnnouncementsSent int64 `json:"announced"`
	// LostSlots is the number of slots that an owner's audit asked about and
	// that this router did not hold.
	LostSlots int64 `json:"lost_slots"`
	// StaleSlots is the number of releases of slots that were no longer in use.
	StaleSlots int64 `json:"stale_slots"`
	// StaleMessages is the number of messages ignored, mostly from earlier
	// incarnations of their senders.
	StaleMessages int64 `json:"stale_messages"`
}

// Status is a snapshot of the state for metrics and operators.
type Status struct {
	Counts
	Waiting      int           `json:"waiting"`
	Running      int           `json:"running"`
	OwnedEngines int           `json:"engines"`
	UsedSlots    int           `json:"used"`
	Routers      int           `json:"routers"`
	ViewAge      time.Duration `json:"view_age_ns"`
	Revision     uint64        `json:"revision"`
	Leaving      bool          `json:"leaving"`
}

// Status returns a snapshot of the state.
func (s *State) Status(now time.Time) Status {
	return Status{
		Counts:       s.counts,
		Waiting:      s.waiting,
		Running:      len(s.running),
		OwnedEngines: len(s.slots.Owned()),
		UsedSlots:    s.slots.InUse(),
		Routers:      len(s.members.Live(now)),
		ViewAge:      s.view.Age(now),
		Revision:     s.snapshot.Revision,
		Leaving:      s.leaving,
	}
}
