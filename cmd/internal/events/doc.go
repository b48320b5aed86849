// Package events is the catalogue of numbered log events. docs/EVENTS.md is
// made from it.
package events
