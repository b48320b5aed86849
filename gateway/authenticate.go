package gateway

import (
	"net/http"
	"strings"

	"github.com/slipwick/slipwick/routing"
)

// bearerScheme is the scheme of the Authorization header with which callers send their keys.
const bearerScheme = "Bearer"

// authenticate returns the workspace of the key that a request has, or nil if it has none and needs none.
// A key that no workspace has is refused even where no key is needed: it may have been taken away.
func authenticate(r *http.Request, table *routing.Table, route *routing.Route) (*routing.Workspace, *Refusal) {
	key, hasKey := bearerKey(r.Header)
	if !hasKey {
		if table.RequiresKey(route) {
			return nil, refuseNoKey(table.Version)
		}
		return nil, nil
	}
	workspace := table.Workspace(key)
	if workspace == nil {
		return nil, refuseUnknownKey(table.Version)
	}
	return workspace, nil
}

// bearerKey returns the key of a request, and whether it has one. The case of the scheme's name does not matter.
func bearerKey(header http.Header) (key string, ok bool) {
	scheme, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	key = strings.TrimLeft(key, " ")
	return key, key != ""
}
