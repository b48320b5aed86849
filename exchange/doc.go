// Package exchange synchronises the state of routers. A Syncer sends the other routers an update a
// few times a second, with the router's requests in flight and the parts of prompts that engines, the
// backend servers that run models, cached for it. In a large fleet some routers are hubs, which relay
// the updates of the others. A CrashGossiper spreads which requests were running when backend servers
// crashed. A Recovery builds the cache index of a router that starts: which engines have which parts
// cached.
//
// Updates and crashes are datagrams, which may be lost. Counts of requests and the crashes of
// quarantined requests are sent again; a starting router fetches cached parts over TCP.
package exchange
