// Package gatewayd assembles a gateway process: a router that forwards callers'
// HTTP requests by host and path, and follows the configuration, the list of
// backend servers, evacuations of data centres and rollouts. The routers that
// know each other are the fleet. Backend servers that run a model are called
// engines; the routers track which prompts each engine has cached.
package gatewayd
