// Package fleet combines the configuration in force and the state of the fleet into the view that
// placement and admission use.
package fleet
