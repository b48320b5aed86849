package admission

// Share is a workspace's share of the backend servers' capacity.
type Share struct {
	// Weight is the workspace's weight in queues, relative to other workspaces.
	Weight uint32
	// MaxInFlight limits the workspace's requests in flight in each pool; 0 means no limit.
	MaxInFlight int
}
