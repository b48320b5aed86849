// Package membership finds out which routers live, leave or died, and spreads
// that and the states of backend servers. Each router probes one other in each
// period, asks a few to probe for it before it suspects anyone, and passes news
// on with its probes, so that its traffic does not grow with the fleet. The
// platform's list, which lags, only seeds it.
package membership
