package slipwick

// Router is a router of the fleet, as other routers see it.
type Router struct {
	ID string
	// Address is the host:port at which it receives the messages of other routers, such as
	// requests for slots.
	Address    string
	DataCentre string
	Region     string
}
