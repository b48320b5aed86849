package claims

import "sync/atomic"

// Stats counts claims and the writes that they cause.
type Stats struct {
	// Writes and Bytes count the writes sent to the platform, and their size.
	Writes, Bytes atomic.Int64
	// Claims counts the claims granted to this router.
	Claims atomic.Int64
}
