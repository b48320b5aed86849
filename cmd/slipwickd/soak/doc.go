// Package soak contains a randomized soak test of the gateway and no other code.
// Real gateway processes run on loopback between test callers and fake backend
// servers, with a fake of the platform's store. Signals, proxies and the fakes
// inject faults that are chosen at random from a seed. The test then checks what
// callers and backend servers observed against the guarantees of slipwick: for example,
// no request that must not be repeated runs twice, or runs although it was refused, and
// none is sent to a backend server that has been leaving for too long. Admission control is
// on, and at times a workspace sends more requests than the plain servers accept; in the end,
// nothing may be left in flight.
//
// The tests of exchanges run gateway processes, with the settings of a large site, before servers that answer
// each send by a plan: they reject, lose, cut, delay or repeat responses, and send bytes that belong to no request.
// TestServersOfKnownFaults plays what once broke a rule, TestServersOfAnyKind draws plans and disruptions.
//
// `make soak SEED=7 FOR=30s` runs the soak test with one seed and 30 seconds of faults, `make exchanges ROUTERS=84
// PLAYS=40 SEED=7` the tests of exchanges.
package soak
