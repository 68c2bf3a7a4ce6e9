package earlyrefusal

import (
	"time"

	"github.com/stepcroft/stepcroft/internal/clock"
	"github.com/stepcroft/stepcroft/internal/refusal"
	"github.com/stepcroft/stepcroft/internal/scratch"
	"github.com/stepcroft/stepcroft/internal/sockopt"
)

const (
	// maxLastWait is how long a listener that closes waits for the requests of the connections that it still accepts.
	maxLastWait = 20 * time.Millisecond
	// maxLastAccepts is how long it accepts connections while callers keep connecting.
	maxLastAccepts = 100 * time.Millisecond
)

// RefuseQueued accepts the connections that nobody has accepted, and refuses the requests that have arrived. It returns
// the connections without one. The others are closed one by one, since there may be more than the process may open.
func (f *Refuser) RefuseQueued(a *sockopt.Acceptor) (waiting []sockopt.Socket) {
	buffer := scratch.Get()
	defer buffer.Put()
	for end := clock.Now().Add(maxLastAccepts); clock.Now().Before(end); {
		socket, ok := a.AcceptNow()
		if !ok {
			break
		}
		if n := socket.ReadNow(buffer[:]); n > 0 {
			f.RefuseArrived(socket, f.Begin(n), buffer[:], n, refusal.Leaving, refusal.LeavingRetryAfter)
		} else {
			waiting = append(waiting, socket)
		}
	}
	return waiting
}

// RefuseAwaited waits for the requests on connections that were accepted as the listener closed, and refuses them.
func (f *Refuser) RefuseAwaited(waiting []sockopt.Socket) {
	buffer := scratch.Get()
	defer buffer.Put()
	end := clock.Now().Add(maxLastWait)
	for _, socket := range waiting {
		n := socket.ReadNow(buffer[:])
		for n == 0 && clock.Now().Before(end) {
			time.Sleep(time.Millisecond)
			n = socket.ReadNow(buffer[:])
		}
		if n == 0 {
			// An error means that the caller has disconnected.
			_ = socket.Close()
			continue
		}
		f.RefuseArrived(socket, f.Begin(n), buffer[:], n, refusal.Leaving, refusal.LeavingRetryAfter)
	}
}
