// Package keyfiles makes TLS settings from files that are read anew when they
// change, so that certificates are replaced without a restart.
package keyfiles
