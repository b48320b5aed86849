package routing

import "strings"

// Table is one version of the declared state.
type Table struct {
	Version uint64
	Limits  Limits
	Pools   map[string]*Pool
	// Workspaces counts the workspaces; with none, no request needs a key.
	Workspaces int

	hosts map[string]map[string]*Route
	keys  map[string]*Workspace
}

// NewTable makes a table.
func NewTable(version uint64, limits Limits, pools []Pool, routes []Route, workspaces []Workspace) *Table {
	t := &Table{
		Version:    version,
		Limits:     limits,
		Pools:      make(map[string]*Pool, len(pools)),
		Workspaces: len(workspaces),
		hosts:      make(map[string]map[string]*Route),
		keys:       make(map[string]*Workspace),
	}
	for i := range pools {
		t.Pools[pools[i].Name] = &pools[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if t.hosts[host] == nil {
			t.hosts[host] = make(map[string]*Route)
		}
		t.hosts[host][routes[i].Prefix] = &routes[i]
	}
	for i := range workspaces {
		for _, key := range workspaces[i].Keys {
			t.keys[key] = &workspaces[i]
		}
	}
	return t
}

// Route finds the route with the longest prefix of the path; nil without one.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		// A host may come with its port.
		name, _, found := strings.Cut(host, ":")
		if !found {
			return nil
		}
		prefixes = t.hosts[strings.ToLower(name)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Workspace finds the holder of a key; nil if nobody holds it.
func (t *Table) Workspace(key string) *Workspace {
	return t.keys[key]
}
