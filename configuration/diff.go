package configuration

import (
	"encoding/json"
	"reflect"
	"slices"
)

// ChangeKind is what happened to an entry of the state, such as a workspace or a pool.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Change is one entry that differs between two states.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Entry is the path of the entry, such as "pool/drafting".
	Entry string `json:"entry"`
	// Before and After are the entry as JSON before and after the change; empty if the
	// entry does not exist at that time.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the changes from one state to the other, sorted by entry.
func Diff(from, to *State) []Change {
	before, after := from.entries(), to.entries()
	changes := []Change{}
	for entry, old := range before {
		now, kept := after[entry]
		switch {
		case !kept:
			changes = append(changes, change(ChangeRemoved, entry, old, nil))
		case !reflect.DeepEqual(old, now):
			changes = append(changes, change(ChangeChanged, entry, old, now))
		}
	}
	for entry, now := range after {
		if _, known := before[entry]; !known {
			changes = append(changes, change(ChangeAdded, entry, nil, now))
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Entry < b.Entry {
			return -1
		}
		return 1
	})
	return changes
}

func change(kind ChangeKind, entry string, before, after any) Change {
	return Change{
		Kind:   kind,
		Entry:  entry,
		Before: encodeEntry(before),
		After:  encodeEntry(after),
	}
}

// encodeEntry returns an entry as JSON; empty for nil.
func encodeEntry(value any) string {
	if value == nil {
		return ""
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

// entries returns everything that the state declares, by path. Rules are one entry, as their
// order matters; a pool's backend servers are entries of their own.
func (s *State) entries() map[string]any {
	entries := make(map[string]any)
	for _, workspace := range s.Workspaces {
		entries["workspace/"+workspace.Name] = workspace
	}
	for _, pool := range s.Pools {
		for _, backend := range pool.Backends {
			entries["pool/"+pool.Name+"/backend/"+backend.ID] = backend
		}
		pool.Backends = nil
		entries["pool/"+pool.Name] = pool
	}
	if len(s.Rules) > 0 {
		entries["rules"] = s.Rules
	}
	return entries
}
