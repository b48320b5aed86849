// Package admission decides which backend server serves a request and when. Each backend server is
// owned by one router, which grants, queues or refuses requests for its slots within a limit that
// follows from the mean load of the pool.
package admission
