// Package dispatch sends requests to backend servers: it acquires a slot for each attempt, forwards
// the response, retries within a budget and determines the outcome.
package dispatch
