package configuration

// State is the whole desired state of the fleet.
type State struct {
	Workspaces []Workspace `json:"workspaces" validate:"unique=Name,dive"`
	Pools      []Pool      `json:"pools" validate:"unique=Name,dive"`
	Rules      []Rule      `json:"rules" validate:"dive"`
}

// Workspace returns the workspace of that name; ok is false if there is none.
func (s *State) Workspace(name string) (workspace Workspace, ok bool) {
	for i := range s.Workspaces {
		if s.Workspaces[i].Name == name {
			return s.Workspaces[i], true
		}
	}
	return Workspace{}, false
}

// Pool returns the pool of that name; ok is false if there is none.
func (s *State) Pool(name string) (pool Pool, ok bool) {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return s.Pools[i], true
		}
	}
	return Pool{}, false
}
