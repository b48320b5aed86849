// Package exchange synchronises routers: a few times a second each router sends the others an
// update with its requests in flight and the parts of prompts that engines cached for it. State
// that is lost with a datagram is sent again, or learnt in another way.
package exchange
