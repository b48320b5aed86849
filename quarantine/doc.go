// Package quarantine detects requests that crash the backend servers that run them, and stops such
// requests from being sent.
package quarantine
