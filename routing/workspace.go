package routing

// Workspace is a customer of the fleet: the keys, priority and regions of its requests.
type Workspace struct {
	Name string
	// Keys are the secrets that authenticate the workspace's requests.
	Keys []string
	// Priority ranks the workspace's requests, 0 first. It takes precedence over the route's
	// priority, which ranks requests of equal workspace priority. If it is nil, only the route's
	// priority counts.
	Priority *int
	// Regions lists the regions whose backend servers may get the workspace's requests; an empty
	// list allows all.
	Regions []string
}
