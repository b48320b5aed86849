package gateway

import "time"

// stallExcuse is for how long in total the router may wait for more of a response, after its caller has
// stalled, until the stall no longer explains that the backend server breaks off the response: what the
// server had sent by then arrives within some round trips.
const stallExcuse = time.Second

// callerStall tells whether a caller that doesn't read may be why its backend server breaks off a
// response. The zero value is ready for use.
type callerStall struct {
	stalled bool
	// waited is how long the router has waited for the backend server since the stall.
	waited time.Duration
}

// begin notes that nothing is read from the backend server because of the caller.
func (s *callerStall) begin() {
	s.stalled, s.waited = true, 0
}

// recordWait notes how long a read from the backend server took.
func (s *callerStall) recordWait(took time.Duration) {
	if s.stalled {
		s.waited += took
	}
}

// explainsEnd reports whether the stall may be why the response ends now.
func (s *callerStall) explainsEnd() bool {
	return s.stalled && s.waited < stallExcuse
}
