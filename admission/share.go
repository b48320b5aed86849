package admission

// Share is what a workspace is entitled to.
type Share struct {
	// Weight counts against other workspaces that wait.
	Weight uint32
	// MaxInFlight bounds its slots in each pool; 0 sets no bound.
	MaxInFlight int
}
