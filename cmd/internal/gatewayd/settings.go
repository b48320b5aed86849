package gatewayd

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/gateway"
	"github.com/slipwick/slipwick/rollout"
	"github.com/slipwick/slipwick/routing"
)

// Settings are what a gateway process is started with.
type Settings struct {
	// ID is unique in the fleet.
	ID         string
	DataCentre string
	Region     string
	Listen     Listen
	// Seeds are peers' addresses of other routers.
	Seeds   []string
	Headers gateway.Headers
	Retries Retries
	Bounds  Bounds
	// FirstStart says that the whole fleet starts for the first time, so that
	// engines have nothing cached for it.
	FirstStart bool
	// Grace is how long the process may take from SIGTERM to its end.
	Grace time.Duration
	// MemoryBytes bounds the process' memory; 0 sets no bound.
	MemoryBytes int64
}

// Listen holds addresses as host:port.
type Listen struct {
	Callers string
	// Ready is where the balancer asks, at ReadyPath.
	Ready     string
	ReadyPath string
	// Peers is where other routers are heard, over UDP here and at the next
	// port, and over TCP here.
	Peers string
	// Metrics is left out when empty.
	Metrics string
}

// Retries bounds the requests sent again by the whole fleet.
type Retries struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Feeds is where the process learns its state from.
type Feeds struct {
	Tables   slipwick.Feed
	Backends slipwick.Feed
	// Evacuations has an object for each data centre whose backend servers get
	// nothing new; it is not followed where Bounds.Evacuate is 0.
	Evacuations slipwick.Feed
	// DecodeTable gives nil for objects that are no table.
	DecodeTable   func(name string, value []byte) (*routing.Table, error)
	DecodeBackend func(name string, value []byte) (balance.Entry, error)
	// DecodeEvacuation gives the data centre that an object evacuates.
	DecodeEvacuation func(name string, value []byte) (string, error)
	// Rollouts has an object for each order of a rollout, WriteRollout writes the state of
	// the one in the object with the name; it is not followed where Bounds.Exposure is 0.
	Rollouts      slipwick.Feed
	DecodeRollout func(name string, value []byte) (rollout.Order, error)
	WriteRollout  func(ctx context.Context, name string, order *rollout.Order, state rollout.State) error
	// Private says that each router has the state from elsewhere, so that
	// routers do not follow each other.
	Private bool
	// Caches may be nil.
	Caches slipwick.CacheLister
}
