// Package httpclient creates the HTTP clients for the platform and for backend servers. These
// clients never retry a request by themselves.
package httpclient
