// Package tunnel connects a router that has no network path to the backend servers with these through another
// router that has one. The router asks for a tunnel with the HTTP method CONNECT at the other's address for
// routers; the bytes that follow the response are those between the router and the backend server. All
// decisions about a request stay with the router that received it: the other one chooses no server, sends
// nothing again and opens no tunnel in turn.
package tunnel
