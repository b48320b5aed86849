// Package fleet derives what a router has to know of the fleet from the configuration in force, the
// list of routers and the states of the backend servers: the view that placement and admission use,
// the router's position in the relay tree of the store's changes, and whether it watches the
// platform.
package fleet
