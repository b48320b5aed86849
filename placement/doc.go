// Package placement ranks backend servers for a chat and routers for a
// backend server, by weighted rendezvous hashing. It keeps no table: every
// router with the same view ranks alike.
package placement
