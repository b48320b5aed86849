package balance

import (
	"slices"
	"time"
)

// Request describes what a request needs from a backend server.
type Request struct {
	Pool string
	// Prompt has the parts of the prompt that other requests may share, in order. It is empty for
	// a request without a prompt.
	Prompt []Part
	// UniqueTokens is the number of prompt tokens that no other request shares.
	UniqueTokens int
	// Exclude lists the IDs of backend servers that the request has tried already.
	Exclude []string
	// Regions are the regions whose backend servers may get the request or anything of its
	// prompt. Nil allows all, an empty list none.
	Regions []string
	// Version is the only version of the software that may get the request if HasVersion is set, as it continues
	// what a server of that version began. Canaries and versions held back don't matter then.
	Version    string
	HasVersion bool
	// Backend is the ID of the only backend server that may get the request; empty if any may. All
	// other rules apply too: if it isn't one of the servers that the request could be sent to, the
	// request gets none.
	Backend string
	// IgnoreEjection says that Backend may be ejected or unresponsive, unless a connection from this router
	// couldn't be established: who named it knows the results of other routers, but not this router's
	// network paths.
	IgnoreEjection bool
	// MaxIdleTime is the longest time for which a connection may have been idle to be used for the
	// request; 0 sets no bound.
	MaxIdleTime time.Duration
	// HealthyOnly excludes ejected and unresponsive backend servers even if no others are left.
	HealthyOnly bool
}

// allows reports whether the request may go to the region of the server.
func (r *Request) allows(s *server) bool {
	return r.Regions == nil || slices.Contains(r.Regions, s.Region)
}

// mayUse reports whether the request may go to the region of the server and has not tried it already.
func (r *Request) mayUse(s *server) bool {
	return r.allows(s) && !slices.Contains(r.Exclude, s.ID)
}

// mayUseAll reports whether the request may go to all regions and has tried no server.
func (r *Request) mayUseAll() bool {
	return r.Regions == nil && len(r.Exclude) == 0
}

// Part is a section of a prompt, identified by Key.
type Part struct {
	Key    uint64
	Tokens int
}

func (r *Request) partKeys() []uint64 {
	keys := make([]uint64, 0, len(r.Prompt))
	for _, part := range r.Prompt {
		keys = append(keys, part.Key)
	}
	return keys
}

// tokens returns the length of the whole prompt in tokens.
func (r *Request) tokens() int {
	sum := r.UniqueTokens
	for _, part := range r.Prompt {
		sum += part.Tokens
	}
	return sum
}
