// Package events is the catalogue of numbered log events. docs/EVENTS.md is
// generated from it.
package events
