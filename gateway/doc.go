// Package gateway carries callers' HTTP requests to backend servers and the
// answers back, unchanged: by the routes of a table, at most once where a
// request may not be repeated, within the caller's deadline, and with refusals
// that are true.
package gateway
