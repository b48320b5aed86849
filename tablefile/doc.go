// Package tablefile reads a gateway's routing table and its backend servers
// from a file in JSON with comments, and watches the file for changes.
package tablefile
