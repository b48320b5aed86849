// Package routing holds the configuration that requests are routed by: hosts and path prefixes,
// pools, workspaces with their keys, and limits. A Table is built once for each version of the
// configuration and not changed after.
package routing
