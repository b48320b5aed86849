package claims

import "sync/atomic"

// Stats counts what claims cost.
type Stats struct {
	// Writes and Bytes are those sent to the platform.
	Writes, Bytes atomic.Int64
	// Claims counts those granted to this router.
	Claims atomic.Int64
}
