// Package tcpconn wraps TCP connections so that the end of their data can be told from a reset.
package tcpconn
