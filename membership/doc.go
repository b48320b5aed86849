// Package membership tracks which routers are live, leaving or dead, and distributes that and the
// states of backend servers by gossip. The state of a backend server is announced by its owner, the
// router that grants its slots; package placement selects it. A box runs one router or one backend
// server.
//
// In each probe interval a router probes one other router, and if that does not reply, asks a few
// others to probe it before suspecting it. Updates travel with the probes, so the traffic per
// router does not grow with the fleet. The platform's listing lags behind, so it is used only to
// find routers and to learn which boxes are leaving.
package membership
