// Package directory follows what the store knows, the configuration and the
// backend servers, through its outages: what was known stays in use, and what
// lapsed while the store was away gets time to come back.
package directory
