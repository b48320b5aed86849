// Package tablefile reads a gateway's routing table and its backend servers
// from a file in JSON with comments, and follows its changes.
package tablefile
