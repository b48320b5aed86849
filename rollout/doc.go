// Package rollout decides how a pool's traffic moves to backend servers of a new version:
// which share of the requests these get, whether they are worse than those of the version in
// use, and when the move is over. It knows no network and no store.
package rollout
