// Package directory keeps each router's copies of what the store holds: the configuration, the
// backend servers and the evacuated data centres. Copies stay in use while the store does not
// answer, and entries that expired during an outage get time to be written again.
package directory
