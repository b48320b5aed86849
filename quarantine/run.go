package quarantine

import "time"

// Run is one send of a request to a backend server. It has to be ended once.
type Run struct {
	ledger *Ledger
	mark   Mark
	stop   func()
}

// Fate is what became of the backend server while it ran a request, or could have.
type Fate int

const (
	// FateUnknown says nothing of it.
	FateUnknown Fate = iota
	// FateSurvived is a server that brought the whole answer.
	FateSurvived
	// FateEnded is a server that broke off and takes no connections any more.
	FateEnded
)

// End notes what became of the backend server.
func (r *Run) End(fate Fate) {
	l := r.ledger
	l.mu.Lock()
	l.forgetRunLocked(r)
	switch {
	case fate == FateSurvived:
		l.excuseLocked(r.mark.Key)
	case fate == FateEnded && !l.isHarmlessLocked(r.mark.Key):
		if r.mark.Life == 0 {
			r.mark.Life = time.Now().UnixMilli()
		}
		l.takeLocked(r.mark)
	}
	l.unlockAndTell()
}
