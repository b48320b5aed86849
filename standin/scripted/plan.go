package scripted

import "time"

// Action is what a server does with a send.
type Action int

// The actions.
const (
	// ActionRun runs the request and responds.
	ActionRun Action = iota
	// ActionReject responds that the request was not run.
	ActionReject
	// ActionDrop neither runs the request nor responds; End says how the connection ends.
	ActionDrop
)

// End is how the exchange ends on the connection.
type End int

// The ends.
const (
	// EndKept keeps the connection after the whole response.
	EndKept End = iota
	// EndAnnounced closes it after a response that says so.
	EndAnnounced
	// EndClosed closes it after a response that doesn't say so.
	EndClosed
	// EndReset resets it after such a response.
	EndReset
	// EndLost closes it without a response.
	EndLost
	// EndLostByReset resets it without a response.
	EndLostByReset
	// EndCut closes it in the middle of the response.
	EndCut
	// EndCutByReset resets it there.
	EndCutByReset
	// EndStalled sends nothing from there on and waits until the other side closes it.
	EndStalled
	// EndSilent sends nothing and waits until the other side closes it.
	EndSilent
)

// Framing is how a response marks the end of its body.
type Framing int

// The framings.
const (
	// ByLength announces the length.
	ByLength Framing = iota
	// ByChunks sends chunks.
	ByChunks
	// ByClose ends the body with the connection.
	ByClose
)

// Moment is when further bytes are sent after a response.
type Moment int

// The moments.
const (
	// AtOnce sends them with the response.
	AtOnce Moment = iota
	// AfterPause sends them some time later.
	AfterPause
	// WhereDue sends them once the next request on the connection has arrived.
	WhereDue
	// BeforeNext sends them directly before the response to that one.
	BeforeNext
)

// Content is what further bytes are.
type Content int

// The contents.
const (
	// Repeated is the response once more.
	Repeated Content = iota
	// SameRequest is a response with another status that names the same request.
	SameRequest
	// OtherRequest is a response that names a request which nobody sent.
	OtherRequest
	// NoRequest is a response that names none.
	NoRequest
	// NoResponse is no response at all.
	NoResponse
)

// Further are bytes that a server sends after a complete response and that belong to no request.
type Further struct {
	Moment  Moment
	Content Content
	// Status is the status of the response, unless it is Repeated. With IsRejection it says that the request was not run.
	Status      int
	IsRejection bool
	// BodyBytes is the length of its body, unless it is Repeated. LengthError is how much the length that it announces
	// is above that.
	BodyBytes, LengthError int
	// Pause is that of AfterPause.
	Pause time.Duration
}

// Plan says how a server answers one send. The zero value runs the request and responds with 200.
type Plan struct {
	// Interim is the number of informational responses before the response.
	Interim int
	// Pause is the time from the arrival to the response, in which the request runs if it does. RunsLate says that it
	// begins to run at the end of this time, whether or not its connection is still open.
	Pause    time.Duration
	RunsLate bool
	// IsEarly responds before the body of the request is read, and reads it afterwards.
	IsEarly bool
	Action  Action
	// Status is that of the response: of a run 200 if it is 0, of a rejection 503.
	Status int
	// IsUnnamed leaves out the ID of the request in a rejection.
	IsUnnamed bool
	// RejectionBytes is the length of the body of a rejection.
	RejectionBytes int
	Framing        Framing
	End            End
	// MaxIdle closes a kept connection on which no request has begun for that long; 0 keeps it open.
	MaxIdle time.Duration
	Further []Further
}
