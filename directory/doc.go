// Package directory keeps each router's copies of what the store holds: the configuration, the
// backend servers and the evacuated data centres. Copies stay in use while the store does not
// respond, and entries that expired during an outage get time to be written again.
//
// Each kind of object is a feed. A Follower reads a SharedFeed, decodes the changes, and applies
// them to a Mirror, which a RelayServer serves to the RelayClients of other routers. A few routers
// of the fleet, the watchers, read the store; the others read the copies of watchers or of routers
// that follow these, as their position in the relay tree (fleet.RelayPosition) says. Backends and
// Evacuations maintain the lists of backend servers and of evacuated data centres from the changes.
package directory
