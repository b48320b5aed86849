// Package soak contains a randomized soak test of the gateway and no other code.
// Real gateway processes run on loopback between test callers and fake backend
// servers, with a fake of the platform's store. Signals, proxies and the fakes
// inject faults that are drawn from a seed. The test then checks what callers and
// backend servers observed against the guarantees of slipwick.
// `make soak SEED=7 FOR=30s` runs it with one seed.
package soak
