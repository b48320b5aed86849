// Package dispatch carries one request through admission to a backend server
// and its answer back, with retries within a budget, and says how it ended.
package dispatch
