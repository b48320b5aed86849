// Package retry bounds how often routers send requests again, as a share of
// the requests that callers make.
package retry
