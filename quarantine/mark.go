package quarantine

import "time"

// Mark says that a backend server ended under a request.
type Mark struct {
	Key Key
	// Server is the hash of the backend server's ID.
	Server uint64
	// Life tells the server's lives apart: when this one began, as the server says,
	// or when it was seen to end, in Unix milliseconds.
	Life int64
	// Excused says that the request has run to its end since, at any server, so that
	// the end of this one was probably none of its doing.
	Excused bool
}

// lifeBlur is how far apart the times may be that routers give for one life: their
// clocks and what they see differ by milliseconds, and a server that ended takes
// seconds to be back.
const lifeBlur = time.Second

// isSameLife tells whether both marks are of one life of one server.
func (m *Mark) isSameLife(other *Mark) bool {
	apart := time.Duration(m.Life-other.Life) * time.Millisecond
	return m.Server == other.Server && apart.Abs() < lifeBlur
}
