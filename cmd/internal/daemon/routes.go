package daemon

import (
	"net/http"
	"strings"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
)

// routes maps API keys to workspaces and requests to pools, for one version of
// the configuration.
type routes struct {
	version    slipwick.Version
	state      *configuration.State
	workspaces map[string]*configuration.Workspace
}

func newRoutes(snapshot *configuration.Snapshot) *routes {
	r := &routes{
		version:    snapshot.Version,
		state:      &snapshot.State,
		workspaces: make(map[string]*configuration.Workspace),
	}
	for i := range snapshot.State.Workspaces {
		workspace := &snapshot.State.Workspaces[i]
		for _, hash := range workspace.KeyHashes {
			r.workspaces[strings.ToLower(hash)] = workspace
		}
	}
	return r
}

// workspace returns the workspace that the API key in the header belongs to.
func (r *routes) workspace(header http.Header) (*configuration.Workspace, error) {
	key, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if workspace := r.workspaces[configuration.HashKey(key)]; found && workspace != nil {
		return workspace, nil
	}
	return nil, &slipwick.Error{
		Kind:    slipwick.KindUnauthorized,
		Message: "no workspace has this API key",
		Remedy:  "send Authorization: Bearer KEY with a key of a workspace",
		Outcome: slipwick.OutcomeNotRun,
	}
}

// pools returns the pools of the kind that a workspace's requests for a model or service go to:
// the pool of the first matching rule that has one, then its fallback. It returns nil if no matching
// rule has a pool of the kind.
func (r *routes) pools(workspace, model string, kind configuration.PoolKind) []configuration.Pool {
	for _, rule := range r.state.Rules {
		if !rule.Matches(workspace, model) {
			continue
		}
		var pools []configuration.Pool
		for _, name := range []string{rule.Pool, rule.Fallback} {
			if pool, ok := r.state.Pool(name); ok && pool.Kind == kind {
				pools = append(pools, pool)
			}
		}
		if len(pools) > 0 {
			return pools
		}
	}
	return nil
}
