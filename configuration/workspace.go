package configuration

// Workspace is one customer of the fleet.
type Workspace struct {
	Name string `json:"name" validate:"required,max=100"`
	// KeyHashes are SHA-256 sums, in hexadecimal, of the API keys.
	KeyHashes []string `json:"key_hashes" validate:"min=1,dive,len=64,hexadecimal"`
	// Share weighs the workspace against others that wait; 0 stands for 1.
	Share uint32 `json:"share" validate:"max=10000"`
	// Priority is served first when higher.
	Priority int `json:"priority" validate:"min=0,max=9"`
	// MaxInFlight bounds its requests in each pool; 0 sets no bound.
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
