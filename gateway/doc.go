// Package gateway is the HTTP reverse proxy of a router. It forwards callers' requests to backend
// servers by the routes of a routing table, and returns their responses unchanged. It observes the
// deadlines of callers, runs a request at most once where it must not be repeated, and states in
// its error responses whether the request can have run.
//
// A workspace is one customer of the fleet of routers. An engine is a backend server that runs a
// model. It prefills a prompt, that is, computes the state of the model for all its tokens, and
// caches that state. A backend server is cold while it can serve only few requests, as after a
// start. It is ejected after requests failed there: the balancer then chooses others for a while,
// if there are any. A data centre is evacuated while operators keep new requests out of it.
package gateway
