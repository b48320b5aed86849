package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// crashBody is the body of the crash request, which crashes each backend server that runs it.
	// Gateways must quarantine the request after three crashes. They identify a request by its
	// workspace, method, URI and body, so that all crash requests count as the same one.
	crashBody = "ends servers"
	// maxQuarantineDelay is the time after the third crash by which all gateways must have
	// quarantined the request. Up to maxLateAttempts attempts may reach backend servers later, as
	// they may already be under way at that time. The limits hold only while gateways keep running:
	// attempts through a gateway that was disturbed within settleTime are not counted, and killing
	// all gateways resets the counts.
	maxQuarantineDelay = 2 * time.Second
	maxLateAttempts    = 3
	// crashRequestInterval is the pause between two crash requests of a caller. Callers send
	// them for crashRequestExtraTime longer than the duration of the fault.
	crashRequestInterval  = 60 * time.Millisecond
	crashRequestExtraTime = 6 * time.Second
	// crashCallerCount is the number of callers, and so of concurrent crash requests.
	crashCallerCount = 4
)

// crashLog has the times at which backend servers crashed running the crash request, and
// those of the attempts that reached one. It is guarded by the mutex of recorder.
type crashLog struct {
	crashes  []time.Time
	attempts []time.Time
}

// recordCrash records that a backend server crashed running the crash request.
func (r *recorder) recordCrash(*backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashLog.crashes = append(r.crashLog.crashes, time.Now())
}

// resetCrashes clears the crash log. It is called when all gateways were killed, after which none
// knows of a crash.
func (r *recorder) resetCrashes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashLog = crashLog{}
}

// recordAttemptLocked records that a backend server got the crash request through a
// gateway that was not disturbed within settleTime.
func (r *recorder) recordAttemptLocked() {
	r.crashLog.attempts = append(r.crashLog.attempts, time.Now())
}

// checkQuarantine checks that the crash request stopped reaching backend servers after three
// crashes. It returns the number of crashes and of attempts after maxQuarantineDelay.
func (r *recorder) checkQuarantine() (crashes, late int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	crashes = len(r.crashLog.crashes)
	for _, at := range r.crashLog.attempts {
		if crashes >= 3 && at.Sub(r.crashLog.crashes[2]) > maxQuarantineDelay {
			late++
		}
	}
	if late > maxLateAttempts {
		r.violations = append(r.violations, fmt.Sprintf(
			"the crash request reached servers %d more times after three crashes; %d servers crashed in all", late, crashes))
	}
	return crashes, late
}

// sendCrashRequests sends the crash request again and again from several callers, each
// with connections of its own, to gateways chosen at random.
func sendCrashRequests(f *fleet, random *rand.Rand, duration time.Duration) {
	var tasks sync.WaitGroup
	for range crashCallerCount {
		c := newCaller(f, fmt.Sprintf("ends-%d", random.Uint32()), random.Uint64())
		tasks.Go(func() {
			for began := time.Now(); time.Since(began) < duration+crashRequestExtraTime; time.Sleep(crashRequestInterval) {
				if g := f.randomReadyGateway(c.random); g != nil {
					c.send(g, routeResumable, crashBody)
				}
			}
			c.client.CloseIdleConnections()
		})
	}
	tasks.Wait()
}
