package slipwick

// LoadReport is an engine's report of its own load. It may be out of date.
type LoadReport struct {
	// Running and Queued are numbers of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving is true if the engine has begun a planned stop.
	Leaving bool `json:"leaving"`
}
