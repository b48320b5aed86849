package slipwick

// Router is a router of the fleet, as other routers see it.
type Router struct {
	ID string
	// Address is the host:port at which it serves slot requests of other routers.
	Address    string
	DataCentre string
	Region     string
}
