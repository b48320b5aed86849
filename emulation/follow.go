package emulation

import (
	"context"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/fleet"
)

// configSync is the state with which a router follows the configuration.
type configSync struct {
	follower *configuration.Follower
	syncer   *configuration.Syncer

	mu sync.Mutex
	// versions lists the versions that have been in force, in order.
	versions []slipwick.Version
}

// Follow starts to follow the configuration in the store, until ctx ends.
func (r *Router) Follow(ctx context.Context, network *Network, store slipwick.Store) {
	f := &configSync{}
	f.follower = &configuration.Follower{
		Store:   store,
		Watches: r.watchesPlatform,
		OnChange: func(snapshot *configuration.Snapshot) {
			f.mu.Lock()
			f.versions = append(f.versions, snapshot.Version)
			f.mu.Unlock()
			r.Node.SetVersion(uint64(snapshot.Version))
		},
	}
	f.syncer = &configuration.Syncer{
		Follower: f.follower,
		Transport: &envelopeTransport{
			network: network,
			from:    r,
		},
	}
	r.mu.Lock()
	r.configSync = f
	r.mu.Unlock()
	go f.follower.Run(ctx)
}

// watchesPlatform reports whether the router watches the platform itself. It
// does so too until it has a view.
func (r *Router) watchesPlatform() bool {
	r.mu.Lock()
	view := r.view
	r.mu.Unlock()
	return view == nil || fleet.IsPlatformWatcher(r.Self, view.Routers)
}

func (r *Router) currentConfigSync() *configSync {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configSync
}

// Versions returns the versions that have been in force at the router, in
// order. Follow must have been called.
func (r *Router) Versions() []slipwick.Version {
	f := r.currentConfigSync()
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]slipwick.Version(nil), f.versions...)
}
