// Package gatewayd assembles a gateway process: it routes callers' HTTP
// requests by host and path, and follows the configuration and the list of
// backend servers.
package gatewayd
