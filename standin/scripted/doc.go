// Package scripted has a stand-in of a backend server whose plans say how it answers each send: with any sequence
// of responses, ends and pauses that the protocol allows. Its ledger records what callers sent and got and what
// servers ran, and finds where an exchange broke a rule: a request ran twice, one ran that was refused, a response
// was mixed up or not whole, or the events of a stream were out of order.
package scripted
