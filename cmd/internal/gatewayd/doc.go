// Package gatewayd assembles a gateway process: a router that forwards callers'
// HTTP requests by host and path, and follows the configuration, the list of
// backend servers, evacuations of data centres and rollouts.
package gatewayd
