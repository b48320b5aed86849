package configuration

import "github.com/slipwick/slipwick"

// PoolKind distinguishes pools of model engines from pools of other services.
type PoolKind string

// The kinds of pool.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool is a set of interchangeable backend servers.
type Pool struct {
	Name string   `json:"name" validate:"required,max=100"`
	Kind PoolKind `json:"kind" validate:"oneof=engine service"`
	// MaxLoadFactor bounds an engine's load as a multiple of the pool's
	// mean load; 0 means DefaultMaxLoadFactor.
	MaxLoadFactor float64 `json:"max_load_factor" validate:"omitempty,gte=1,lte=10"`
	// NotRepeatable says that the pool's requests may not be sent twice unless
	// a request says otherwise.
	NotRepeatable bool               `json:"not_repeatable"`
	Backends      []slipwick.Backend `json:"backends" validate:"min=1,unique=ID,dive"`
}

// DefaultMaxLoadFactor is the MaxLoadFactor of pools that set none.
const DefaultMaxLoadFactor = 1.25

// EffectiveMaxLoadFactor is MaxLoadFactor with its default applied.
func (p Pool) EffectiveMaxLoadFactor() float64 {
	if p.MaxLoadFactor == 0 {
		return DefaultMaxLoadFactor
	}
	return p.MaxLoadFactor
}
