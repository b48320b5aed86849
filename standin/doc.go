// Package standin holds small stand-ins for the platform and for backend
// servers, with faults that can be switched on. They speak the protocols of
// docs/WIRE.md over net/http and serve tests, the demo and measurements.
package standin
