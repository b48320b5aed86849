package slipwick

// Router is one router of the fleet as the others know it.
type Router struct {
	ID string
	// Address is host:port for slot traffic between routers.
	Address    string
	DataCentre string
	Region     string
}
