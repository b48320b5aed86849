package slipwick

// BoxKind is what runs on a box.
type BoxKind string

// The kinds of box.
const (
	BoxRouter  BoxKind = "router"
	BoxBackend BoxKind = "backend"
)

// BoxState is the platform's word on a box.
type BoxState string

// The states of a box in the platform's list.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Box is one entry of the platform's list. The list lags behind reality.
type Box struct {
	ID   string  `json:"id"`
	Kind BoxKind `json:"kind"`
	// Address is host:port: a router's peer address, a backend server's
	// HTTP address.
	Address    string   `json:"address"`
	DataCentre string   `json:"data_centre"`
	Region     string   `json:"region"`
	State      BoxState `json:"state"`
}
