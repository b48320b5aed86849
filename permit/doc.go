// Package permit gives out permits for pools with few slots and short work. The router that ranks
// first for a pool coordinates it: it knows exactly which request is in flight at which backend server,
// chooses the server of each request, and queues or refuses requests when the servers are busy. While
// a pool has room, requests are sent without permits.
//
// A Client asks the coordinators of the pools for the permits of one router, a Coordinator serves the
// pools that rank this router first, and an Endpoint connects both to the network. They exchange
// datagrams, which may be lost, doubled, late or out of order. A permit is identified by the address
// and the start time of its router and by a number. A lost release is found by an audit: the
// coordinator asks a router whether it still holds its older permits.
package permit
