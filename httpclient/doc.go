// Package httpclient builds the HTTP clients towards the platform and backend
// servers. They never send a request a second time by themselves.
package httpclient
