// Package placement ranks backend servers for a chat, selects the owning router of each backend
// server and ranks routers for other keys, by rendezvous hashing; the ranking of backend servers is
// weighted. It keeps no shared state: all routers with the same View compute the same ranking.
package placement
