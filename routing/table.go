package routing

import (
	"iter"
	"strings"
)

// Table is one version of the routing configuration. It is safe for concurrent use, as it does not
// change.
type Table struct {
	Version uint64
	Limits  Limits
	Pools   map[string]*Pool
	// AllowAnonymous says that no request needs a key, as the configuration has no list of workspaces.
	// An empty list is one: then requests need a key, and none is valid.
	AllowAnonymous bool

	hosts map[string]map[string]*Route
	keys  map[string]*Workspace
}

// NewTable returns a table whose requests need keys, unless their route or AllowAnonymous says
// otherwise. It refers to the elements of the slices; the caller must not change them after.
func NewTable(version uint64, limits Limits, pools []Pool, routes []Route, workspaces []Workspace) *Table {
	t := &Table{
		Version: version,
		Limits:  limits,
		Pools:   make(map[string]*Pool, len(pools)),
		hosts:   make(map[string]map[string]*Route),
		keys:    make(map[string]*Workspace),
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

// Route returns the route of the host, with or without port, that has the longest prefix of the
// path; nil if there is none.
func (t *Table) Route(host, path string) *Route {
	prefixes := t.hosts[strings.ToLower(host)]
	if prefixes == nil {
		// The host may include a port.
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

// Routes returns all routes, in no order.
func (t *Table) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, prefixes := range t.hosts {
			for _, r := range prefixes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// RequiresKey reports whether requests for the route need the key of a workspace.
func (t *Table) RequiresKey(r *Route) bool {
	return !t.AllowAnonymous && !r.AllowAnonymous
}

// Workspace returns the workspace that a key belongs to; nil for an unknown key.
func (t *Table) Workspace(key string) *Workspace {
	return t.keys[key]
}
