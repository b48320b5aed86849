package configuration

// Workspace is one customer of the fleet.
type Workspace struct {
	Name string `json:"name" validate:"required,max=100"`
	// KeyHashes are the hashes of the workspace's API keys: see HashKey.
	KeyHashes []string `json:"key_hashes" validate:"min=1,dive,len=64,hexadecimal"`
	// Share is the workspace's weight against other workspaces with queued requests; 0 means 1.
	Share uint32 `json:"share" validate:"max=10000"`
	// Priority is the priority of the workspace's requests; higher ones are served first.
	Priority int `json:"priority" validate:"min=0,max=9"`
	// MaxInFlight bounds its requests in flight in each pool; 0 sets no bound.
	MaxInFlight int        `json:"max_in_flight" validate:"min=0"`
	Objectives  Objectives `json:"objectives"`
}

// EffectiveShare is Share with its default applied.
func (w Workspace) EffectiveShare() uint32 {
	if w.Share == 0 {
		return 1
	}
	return w.Share
}
