package emulation

import (
	"context"
	"sync"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/configuration"
	"github.com/slipwick/slipwick/fleet"
)

// configSync holds what a router needs to follow the configuration.
type configSync struct {
	follower *configuration.Follower
	syncer   *configuration.Syncer

	mu sync.Mutex
	// versions lists the versions that have been in force, in order.
	versions []slipwick.Version
}

// Follow makes the router follow the configuration, from the store and from its
// peers, until ctx ends.
func (r *Router) Follow(ctx context.Context, network *Network, store slipwick.Store) {
	s := &configSync{}
	s.follower = &configuration.Follower{
		Store:   store,
		Watches: r.watchesPlatform,
		OnChange: func(snapshot *configuration.Snapshot) {
			s.mu.Lock()
			s.versions = append(s.versions, snapshot.Version)
			s.mu.Unlock()
			r.Node.SetVersion(uint64(snapshot.Version))
		},
	}
	s.syncer = &configuration.Syncer{
		Follower: s.follower,
		Transport: &envelopeTransport{
			network: network,
			from:    r,
		},
	}
	r.mu.Lock()
	r.configSync = s
	r.mu.Unlock()
	go s.follower.Run(ctx)
}

// watchesPlatform reports whether the router watches the platform itself, rather
// than get the configuration from its peers. Until it has a view, it watches.
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
	s := r.currentConfigSync()
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]slipwick.Version(nil), s.versions...)
}
