// Package service calls plain backend servers over HTTP.
package service
