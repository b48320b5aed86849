// Package httpclient creates the HTTP clients for the platform and for backend servers. These
// clients never send the body of a request twice by themselves. The package also parses the notices
// that backend servers add to their responses.
package httpclient
