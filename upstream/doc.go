// Package upstream carries single HTTP/1.1 exchanges to backend servers over
// kept connections. net/http's Transport hides what a router has to know: that
// it sent a request twice, that an answer belongs to an earlier request, and
// whether a failed request can have reached the backend server. Parsing and
// framing are net/http's.
package upstream
