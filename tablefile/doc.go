// Package tablefile reads a gateway's routing table, backend servers and evacuated data centres from
// a file in JSON with comments, the table file, and watches the file for changes. It also changes the
// list of evacuated data centres in the file.
package tablefile
