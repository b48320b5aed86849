package standin

import "time"

// Faults are what can be switched on at an engine.
type Faults struct {
	// Hang accepts requests and never answers them.
	Hang bool
	// CutAfter breaks each connection after that many events; 0 never does.
	CutAfter int
	// Late delays the start of each answer.
	Late time.Duration
	// Repeat sends every event twice.
	Repeat bool
	// Foreign puts an event of another answer before each answer's second.
	Foreign bool
	// Swap sends the third event before the second, on the connection that
	// the request came on.
	Swap bool
	// Refuse answers 503 and says that the request was not run.
	Refuse bool
	// Leaving refuses new work and finishes what runs.
	Leaving bool
	// Rest has what is refused ask for so long without requests.
	Rest time.Duration
	// SaysLeaving says in all answers that it leaves, and serves on.
	SaysLeaving bool
	// EndUnder has a request whose body holds the text end the engine: End is called,
	// which is to close its server, and nothing is answered.
	EndUnder string
	End      func()
}
