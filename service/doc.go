// Package service is the HTTP client for backend servers that are not model engines.
package service
