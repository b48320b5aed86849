package tablefile

import (
	"strconv"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
	"github.com/slipwick/slipwick/jsonfile"
	"github.com/slipwick/slipwick/routing"
)

// File is the content of a table file: the whole desired state of a gateway.
type File struct {
	// Version has to rise with each change; a lower version is ignored.
	Version uint64  `json:"version" validate:"required"`
	Limits  Limits  `json:"limits"`
	Routes  []Route `json:"routes" validate:"dive"`
	Pools   []Pool  `json:"pools" validate:"dive"`
	// Workspaces is nil if the file has no such list. Then requests need no key; with an empty list,
	// they need one and none is valid.
	Workspaces []Workspace `json:"workspaces" validate:"dive"`
	// Evacuated are the data centres whose backend servers get no new requests. The
	// list may change without a new version.
	Evacuated []string `json:"evacuated" validate:"dive,required"`
}

// Limits is the file's form of routing.Limits; a field that is left out sets no bound.
type Limits struct {
	HeaderBytes int64             `json:"header_bytes" validate:"min=0"`
	BodyBytes   int64             `json:"body_bytes" validate:"min=0"`
	IdleTimeout jsonfile.Duration `json:"idle" validate:"min=0"`
}

// Route is the file's form of routing.Route.
type Route struct {
	Name              string            `json:"name" validate:"required"`
	Host              string            `json:"host" validate:"required"`
	Prefix            string            `json:"prefix" validate:"required,startswith=/,endswith=/"`
	Kind              string            `json:"kind" validate:"oneof=repeatable single stream"`
	Timeout           jsonfile.Duration `json:"timeout" validate:"min=0"`
	ResponseObjective jsonfile.Duration `json:"objective" validate:"min=0"`
	GapObjective      jsonfile.Duration `json:"pause" validate:"min=0"`
	Priority          int               `json:"priority" validate:"min=0,max=9"`
	MaxAttempts       int               `json:"max_attempts" validate:"min=0"`
	AllowAnonymous    bool              `json:"anonymous"`
	Affinity          bool              `json:"affinity"`
	Resumable         bool              `json:"resumable"`
	Regions           []string          `json:"regions" validate:"dive,required"`
	Targets           []Target          `json:"targets" validate:"required,dive"`
}

// Target is the file's form of routing.Target. A weight that is left out counts as 1.
type Target struct {
	Pool   string `json:"pool" validate:"required"`
	Weight int    `json:"weight" validate:"min=0"`
}

// Pool is the file's form of routing.Pool, with the backend servers of the pool.
type Pool struct {
	Name           string `json:"name" validate:"required"`
	MaxConnections int    `json:"max_connections" validate:"min=0"`
	// Engine says that the backend servers are model engines, CanFetchPrompts that
	// they can fetch cached prompts from each other.
	Engine          bool `json:"engine"`
	CanFetchPrompts bool `json:"fetches"`
	// Cold is left out if the backend servers can serve as much right after a start
	// as later.
	Cold *ColdCapacity `json:"cold"`
	// MaxQueued bounds the requests for the pool that wait at one router; 0 stands for a bound from
	// the router's memory limit.
	MaxQueued int                `json:"max_queued" validate:"min=0"`
	Backends  []slipwick.Backend `json:"backends" validate:"dive"`
}

// ColdCapacity is the file's form of routing.ColdCapacity.
type ColdCapacity struct {
	RequestsPerSecond float64           `json:"per_second" validate:"gt=0"`
	Duration          jsonfile.Duration `json:"time" validate:"min=0"`
}

// Workspace is the file's form of routing.Workspace.
type Workspace struct {
	Name     string   `json:"name" validate:"required"`
	Keys     []string `json:"keys" validate:"dive,min=8"`
	Priority *int     `json:"priority"`
	// Share is the workspace's weight relative to others whose requests wait; 0 stands for 1.
	Share uint32 `json:"share" validate:"max=10000"`
	// MaxInFlight bounds the workspace's requests in flight in each pool, MaxWork the work that it may
	// ask of each pool, in seconds of service time per second. 0 sets no bound.
	MaxInFlight int      `json:"max_in_flight" validate:"min=0"`
	MaxWork     float64  `json:"max_work" validate:"min=0"`
	Regions     []string `json:"regions" validate:"dive,required"`
}

// Parse parses and checks a file, which error messages call by the name. The error is
// jsonfile.ValidationErrors.
func Parse(name string, source []byte) (*File, error) {
	document, err := jsonfile.Parse(name, source)
	if err != nil {
		return nil, err
	}
	file := &File{}
	errs := document.Decode(file)
	if len(errs) == 0 {
		errs = file.checkTargets(document)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	return file, nil
}

// checkTargets finds routes to pools that the file does not declare.
func (f *File) checkTargets(document *jsonfile.Document) jsonfile.ValidationErrors {
	declared := make(map[string]bool, len(f.Pools))
	for i := range f.Pools {
		declared[f.Pools[i].Name] = true
	}
	var errs jsonfile.ValidationErrors
	for i := range f.Routes {
		for _, target := range f.Routes[i].Targets {
			if !declared[target.Pool] {
				errs = append(errs, document.ErrorAt(pointer("routes", i), "no pool "+target.Pool,
					"name one of the file's pools"))
			}
		}
	}
	return errs
}

// Table returns the file's routing table.
func (f *File) Table() *routing.Table {
	routes := make([]routing.Route, 0, len(f.Routes))
	for i := range f.Routes {
		routes = append(routes, f.Routes[i].translate())
	}
	pools := make([]routing.Pool, 0, len(f.Pools))
	for i := range f.Pools {
		pool := routing.Pool{
			Name:           f.Pools[i].Name,
			MaxConnections: f.Pools[i].MaxConnections,
			MaxQueued:      f.Pools[i].MaxQueued,
		}
		if f.Pools[i].Engine {
			pool.Engine = &routing.Engine{
				CanFetchPrompts: f.Pools[i].CanFetchPrompts,
			}
		}
		if cold := f.Pools[i].Cold; cold != nil {
			pool.Cold = &routing.ColdCapacity{
				RequestsPerSecond: cold.RequestsPerSecond,
				Duration:          time.Duration(cold.Duration),
			}
		}
		pools = append(pools, pool)
	}
	workspaces := make([]routing.Workspace, 0, len(f.Workspaces))
	for _, w := range f.Workspaces {
		workspaces = append(workspaces, routing.Workspace{
			Name:        w.Name,
			Keys:        w.Keys,
			Priority:    w.Priority,
			Share:       w.Share,
			MaxInFlight: w.MaxInFlight,
			MaxWork:     w.MaxWork,
			Regions:     w.Regions,
		})
	}
	table := routing.NewTable(f.Version, routing.Limits{
		HeaderBytes: f.Limits.HeaderBytes,
		BodyBytes:   f.Limits.BodyBytes,
		IdleTimeout: time.Duration(f.Limits.IdleTimeout),
	}, pools, routes, workspaces)
	table.AllowAnonymous = f.Workspaces == nil
	return table
}

func (r *Route) translate() routing.Route {
	targets := make([]routing.Target, 0, len(r.Targets))
	for _, t := range r.Targets {
		targets = append(targets, routing.Target{
			Pool:   t.Pool,
			Weight: max(t.Weight, 1),
		})
	}
	return routing.Route{
		Name:              r.Name,
		Host:              r.Host,
		Prefix:            r.Prefix,
		Kind:              routing.Kind(r.Kind),
		Timeout:           time.Duration(r.Timeout),
		ResponseObjective: time.Duration(r.ResponseObjective),
		GapObjective:      time.Duration(r.GapObjective),
		Priority:          r.Priority,
		MaxAttempts:       max(r.MaxAttempts, 1),
		AllowAnonymous:    r.AllowAnonymous,
		Affinity:          r.Affinity,
		Resumable:         r.Resumable,
		Regions:           r.Regions,
		Targets:           targets,
	}
}

// Backends returns the backend servers of all pools.
func (f *File) Backends() []balance.Entry {
	var list []balance.Entry
	for i := range f.Pools {
		for _, backend := range f.Pools[i].Backends {
			list = append(list, balance.Entry{
				Backend: backend,
				Pool:    f.Pools[i].Name,
			})
		}
	}
	return list
}

// pointer returns the JSON pointer of an element of a list in the file.
func pointer(field string, index int) string {
	return "/" + field + "/" + strconv.Itoa(index)
}
