// Package balance chooses the backend server for each request. A request with a prompt goes to
// an engine that has the prompt cached, unless that would load the engine above a multiple of
// the pool's mean load. A request to a plain service goes to the least loaded server, with a
// preference for the router's own data centre. Backend servers that fail requests are ejected
// for a while.
//
// The pace of a server says how long work takes there relative to usual. It is estimated from the
// server's reports and from the response times that routers observe and send each other. While
// SetSpeedAware is on, a request to a plain service goes to the server with the shorter expected
// delay of two that are drawn at random, and the load of a slow engine weighs more.
//
// A pool is a set of backend servers that serve the same requests; a plain service is one whose
// requests have no prompts. An engine is a backend server that runs inference. Before it responds
// it has to prefill the prompt, that is, compute the state of the model for all tokens of the prompt
// that it has not cached. A prompt consists of parts, all of which but the last one other requests
// may share. An engine that has a part cached is a holder of it, and other engines can fetch it from
// there. The engines that have the last shared part cached count as holders of the whole prompt.
// Rendezvous hashing gives each prompt a rank order of engines, and each server a rank order of
// routers.
//
// A backend server is cold while it can serve only few requests, for some time after a start or
// later. Its entry in the list of backend servers says for how long. The list comes from a store,
// or from a file that operators write. A server is evacuated while operators keep new requests out
// of its data centre. An incarnation is one run of a server between start and end; several may
// follow each other under one ID. The routers of a fleet send each other updates, in a large fleet
// through a few routers that relay them, the hubs.
package balance
