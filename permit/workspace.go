package permit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
)

// workWindow is the time over which a workspace's work may exceed its work per second: its burst.
const workWindow = time.Second

// workspace counts the leases of one workspace at a pool.
type workspace struct {
	leases int
	// work is the bucket of the workspace's work, in milliseconds; nil without a limit.
	work *rate.Limiter
}

func (p *pool) workspace(request *slipwick.PermitRequest) *workspace {
	w := p.workspaces[request.Workspace]
	if w == nil {
		w = &workspace{}
		p.workspaces[request.Workspace] = w
	}
	return w
}

// hasRoom reports whether the workspace may have one more request in flight.
func (p *pool) hasRoom(request *slipwick.PermitRequest) bool {
	w := p.workspaces[request.Workspace]
	return request.MaxInFlight <= 0 || w == nil || w.leases < request.MaxInFlight
}

// takeWork takes the request's work from what the workspace may ask for. It returns false if the
// workspace is at its limit.
func (p *pool) takeWork(request *slipwick.PermitRequest, now time.Time) bool {
	if request.MaxWork <= 0 {
		return true
	}
	w := p.workspace(request)
	perSecond := rate.Limit(request.MaxWork * float64(time.Second/time.Millisecond))
	burst := max(int(float64(perSecond)*workWindow.Seconds()), int(request.Work/time.Millisecond), 1)
	if w.work == nil || w.work.Limit() != perSecond {
		w.work = rate.NewLimiter(perSecond, burst)
	}
	return w.work.AllowN(now, max(int(request.Work/time.Millisecond), 1))
}
