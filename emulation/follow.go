package emulation

import (
	"context"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/fleet"
)

// following is a router's part in following the configuration.
type following struct {
	follower *configuration.Follower
	sharing  *configuration.Syncer

	mu sync.Mutex
	// versions are those that were in force, in order.
	versions []slipwick.Version
}

// Follow has the router follow the configuration in the store.
func (r *Router) Follow(ctx context.Context, network *Network, store slipwick.Store) {
	f := &following{}
	f.follower = &configuration.Follower{
		Store:   store,
		Watches: r.watches,
		OnChange: func(snapshot *configuration.Snapshot) {
			f.mu.Lock()
			f.versions = append(f.versions, snapshot.Version)
			f.mu.Unlock()
			r.Node.SetVersion(uint64(snapshot.Version))
		},
	}
	f.sharing = &configuration.Syncer{
		Follower: f.follower,
		Transport: &link{
			network: network,
			from:    r,
		},
	}
	r.mu.Lock()
	r.following = f
	r.mu.Unlock()
	go f.follower.Run(ctx)
}

func (r *Router) watches() bool {
	r.mu.Lock()
	view := r.view
	r.mu.Unlock()
	return view == nil || fleet.IsPlatformWatcher(r.Self, view.Routers)
}

func (r *Router) followed() *following {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.following
}

// Versions lists the versions that were in force at the router, in order.
func (r *Router) Versions() []slipwick.Version {
	f := r.followed()
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]slipwick.Version(nil), f.versions...)
}
