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

// Settings are the settings of a gateway process.
type Settings struct {
	// ID is unique in the fleet.
	ID         string
	DataCentre string
	Region     string
	Listen     Listen
	// Seeds are the addresses (Listen.Peers) of other routers, through which this one finds the
	// fleet.
	Seeds   []string
	Headers gateway.Headers
	Retries Retries
	Bounds  Bounds
	// Admission says when requests wait for permits and servers are chosen by their speed; the zero
	// value stands for AdmissionOff.
	Admission AdmissionMode
	// FirstStart says that the whole fleet starts for the first time, so that no
	// engine has cached any prompts yet.
	FirstStart bool
	// GracePeriod bounds the time from SIGTERM to the end of the process.
	GracePeriod time.Duration
	// MemoryBytes limits the process' memory; 0 sets no limit.
	MemoryBytes int64
	// FileDescriptors is how many file descriptors the process may open; 0 stands for the limit of the system.
	FileDescriptors int
}

// Listen holds addresses as host:port.
type Listen struct {
	Callers string
	// Ready serves the load balancer's readiness probes, at ReadyPath.
	Ready     string
	ReadyPath string
	// Peers serves other routers: over TCP feeds and the cache index, over UDP membership. The
	// balancers' updates and reports of crashes arrive over UDP at the next port.
	Peers string
	// Metrics serves metrics and status; it is not opened if empty.
	Metrics string
}

// Retries limits the retries of the whole fleet: Ratio of the requests within Window, plus
// Extra.
type Retries struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Feeds are the sources of the process' state, with the decoders of their entries.
type Feeds struct {
	// Tables has the routing table, which is the configuration: routes, pools and limits.
	Tables   slipwick.Feed
	Backends slipwick.Feed
	// Evacuations has an entry for each evacuated data centre, whose backend servers get
	// no new requests; it is not followed if Bounds.EvacuationTime is 0.
	Evacuations slipwick.Feed
	// DecodeTable returns nil for entries that are not tables.
	DecodeTable   func(name string, value []byte) (*routing.Table, error)
	DecodeBackend func(name string, value []byte) (balance.Entry, error)
	// DecodeEvacuation returns the data centre that an entry evacuates.
	DecodeEvacuation func(name string, value []byte) (string, error)
	// Rollouts has an entry for each rollout order; WriteRollout writes the state of the
	// order in the named entry. Rollouts are not followed if Bounds.Exposure is 0.
	Rollouts      slipwick.Feed
	DecodeRollout func(name string, value []byte) (rollout.Order, error)
	WriteRollout  func(ctx context.Context, name string, order *rollout.Order, state rollout.State) error
	// Private says that each router has a source of its own, such as a file, so that
	// routers do not relay feeds to each other.
	Private bool
	// Caches lists the prompt parts that an engine has cached; may be nil.
	Caches slipwick.CacheLister
}
