// Package gateway is the HTTP reverse proxy of a router. It forwards callers' requests to backend
// servers by the routes of a routing table, and returns their responses unchanged. It observes the
// deadlines of callers, runs a request at most once where it must not be repeated, and states in
// its error responses whether the request can have run.
package gateway
