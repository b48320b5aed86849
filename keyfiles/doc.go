// Package keyfiles makes TLS configurations from PEM files and reloads the files
// when they change, so that certificates can be replaced without a restart.
package keyfiles
