// Package daemon runs one router process: it reads the settings, builds the components and serves requests.
package daemon
