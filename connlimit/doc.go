// Package connlimit limits the new connections of callers to a router that lacks processor time because
// far more of them arrive than usual, as when a load balancer sends it those of many other routers. A
// connection that is closed before its request was read costs the caller a retry at another router; a
// request that is read and served late costs it the response.
package connlimit
