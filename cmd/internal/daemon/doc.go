// Package daemon assembles a router process from its parts.
package daemon
