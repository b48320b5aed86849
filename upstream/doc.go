// Package upstream performs single HTTP/1.1 exchanges with backend servers over pooled connections.
// It replaces net/http's Transport, which hides what a router has to know: that it sent a request
// twice, that a response belongs to an earlier request, and whether a failed request can have
// reached the backend server. Parsing and framing are left to net/http.
package upstream
