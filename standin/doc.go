// Package standin provides small stand-ins for the platform and for backend
// servers, with faults that can be switched on. They implement the protocols of
// docs/WIRE.md over net/http, for tests, the demo and measurements.
package standin
