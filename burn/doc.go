// Package burn counts the results of requests in sliding windows and computes the burn rate of
// each workspace's error budget.
package burn
