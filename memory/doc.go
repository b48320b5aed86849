// Package memory accounts for the bytes that a router holds for its callers and backend servers:
// bodies of requests, buffered responses and buffers of streams. An Account bounds the total; a
// Reservation counts what one request holds of it.
package memory
