// Package retry limits how often routers retry requests, as a share of the requests that callers
// make.
package retry
