// Package placement ranks backend servers for a chat and selects the owning router of each backend
// server, by weighted rendezvous hashing. It keeps no shared state: all routers with the same View
// compute the same ranking.
package placement
