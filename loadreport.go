package slipwick

// LoadReport is what an engine says of itself, late.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving says that the engine has begun a planned stop.
	Leaving bool `json:"leaving"`
}
