// Package rollout decides how a pool's traffic moves to backend servers of a new version: which
// share of the requests they get, whether they do worse than those of the version in use, and when
// the rollout is complete. It uses neither the network nor the store.
package rollout
