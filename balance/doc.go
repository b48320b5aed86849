// Package balance chooses the backend server for each request. A request with a prompt goes to
// an engine that has the prompt cached, unless that would load the engine above a multiple of
// the pool's mean load. A request to a plain service goes to the least loaded server, with a
// preference for the router's own data centre. Backend servers that fail requests are ejected
// for a while.
package balance
