// Package soak has the randomized fault soak of the gateway; it is all tests. Real
// gateway processes serve callers before stand-ins of backend servers and of the
// platform's store, on loopback, while signals, a proxy and the stand-ins bring
// about faults that a seed draws. What callers and backend servers saw is then
// held against what slipwick promises. `make soak SEED=7 FOR=30s` runs one.
package soak
