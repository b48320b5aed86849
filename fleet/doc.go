// Package fleet derives what a router has to know of the fleet from the configuration in force, the
// list of routers and the states of the backend servers.
//
// For the gateway it computes the router's position in the relay tree of the store's changes
// (RelayPosition). For the chat router it builds the view that placement and admission use
// (ViewBuilder), which says among other things which router owns which backend server, that is,
// grants its slots. It also decides whether a chat router watches the platform (IsPlatformWatcher).
package fleet
