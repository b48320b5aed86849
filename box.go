package slipwick

// BoxKind is the type of process that runs on a box.
type BoxKind string

// The kinds of box.
const (
	BoxRouter  BoxKind = "router"
	BoxBackend BoxKind = "backend"
)

// BoxState is the state of a box as listed by the platform.
type BoxState string

// The states of a box. A leaving box has begun a planned stop.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Box is one entry of the platform's list of boxes, which may be out of date. A box runs one
// router or one backend server.
type Box struct {
	ID   string  `json:"id"`
	Kind BoxKind `json:"kind"`
	// Address is a host:port: the peer address of a router or the HTTP address of a
	// backend server.
	Address    string   `json:"address"`
	DataCentre string   `json:"data_centre"`
	Region     string   `json:"region"`
	State      BoxState `json:"state"`
}
