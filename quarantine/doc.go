// Package quarantine keeps requests from backend servers that end under them.
package quarantine
