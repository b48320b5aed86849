// Package admission decides which backend server serves a request and when. Each backend server is
// owned by one router, which grants, queues or refuses requests for its slots within a limit that
// follows from the mean load of the pool.
//
// A slot is the right to have one request in flight at a backend server. The router that holds a
// slot renews it at the owner, which records it as a lease that expires without renewal. The view
// says which router owns which backend server; when a new view changes the owner, the previous owner
// sends its leases to the new one in a handover. Some owners of a pool are hubs: they collect the
// loads that the others report and send back the pool's total. A displaced chat is one that is not
// served by the first choice of its ranking.
package admission
