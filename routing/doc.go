// Package routing holds the declared state that requests are routed by: hosts
// and path prefixes, pools, workspaces with their keys, and limits. A Table is
// made once for each version of the configuration and not changed after.
package routing
