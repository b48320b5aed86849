package routing

import "time"

// Route says how the requests for a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest that the router spends on a request.
	Timeout time.Duration
	// ResponseObjective is the longest time to the start of the response that counts as good; 0 if
	// none is configured.
	ResponseObjective time.Duration
	// GapObjective is the longest gap between events of a stream that counts as good; 0 if none
	// is configured.
	GapObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds how often one request may run. A send after which it certainly did not run
	// does not count.
	MaxAttempts int
	// AllowAnonymous says that requests need no key.
	AllowAnonymous bool
	// Affinity says that requests name the parts of their prompt, so that they can be sent to an
	// engine that has cached them.
	Affinity bool
	// Resumable says that an interrupted stream may continue at another backend server.
	Resumable bool
	// Regions lists the regions whose backend servers may get the requests; an empty list allows
	// all.
	Regions []string
	// Targets lists the pools that share the requests.
	Targets []Target
}

// Target is a pool's share of the requests of a route.
type Target struct {
	Pool   string
	Weight int
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.Resumable
}

// ChoosePool returns a pool by weight, for a random number draw in [0, 1); "" without targets.
func (r *Route) ChoosePool(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(max(t.Weight, 0))
		if remaining < 0 {
			return t.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}
