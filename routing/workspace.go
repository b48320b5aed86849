package routing

// Workspace is a customer of the fleet: the keys, priority, share, limits and regions of its
// requests.
type Workspace struct {
	Name string
	// Keys are the secrets that authenticate the workspace's requests.
	Keys []string
	// Priority ranks the workspace's requests, 0 first. It takes precedence over the route's
	// priority, which ranks requests of equal workspace priority. If it is nil, only the route's
	// priority counts.
	Priority *int
	// Share is the workspace's weight relative to others whose requests wait; 0 stands for 1.
	Share uint32
	// MaxInFlight bounds its requests in flight in each pool, MaxWork the work that it may ask of each
	// pool, in seconds of service time per second. 0 sets no bound.
	MaxInFlight int
	MaxWork     float64
	// Regions lists the regions whose backend servers may get the workspace's requests; an empty
	// list allows all.
	Regions []string
}
