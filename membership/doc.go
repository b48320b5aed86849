// Package membership tracks which routers are live, leaving or dead, and distributes that and the
// states of backend servers by gossip. In each period a router probes one other router, and asks a
// few others to probe it before suspecting it. Updates travel with the probes, so the traffic per
// router does not grow with the fleet. The platform's listing lags behind and is used only to find
// the first routers.
package membership
