package slipwick

// PermitStatusSource is implemented by permit sources that can describe their state to operators.
type PermitStatusSource interface {
	// PermitStatus returns the state of a pool at this router; it is zero for an unknown pool.
	PermitStatus(pool string) PermitStatus
}

// PermitStatus is the state of a pool at a permit source of one router.
type PermitStatus struct {
	// InFlight counts the permits that this router's requests hold, Waiting the requests that wait for
	// one at this router, WaitingBytes the memory that these hold.
	InFlight     int
	Waiting      int
	WaitingBytes int64
	// Workspaces has the workspaces with requests in flight or waiting, in any order.
	Workspaces []WorkspacePermits
}

// WorkspacePermits is the part of one workspace in a PermitStatus.
type WorkspacePermits struct {
	// Workspace is empty for anonymous requests.
	Workspace string
	InFlight  int
	Waiting   int
	// Share is how many requests of the workspace this router may have in flight; 0 if the source
	// has no such limit.
	Share int
}
