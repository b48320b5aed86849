// Package abuse contains tests of callers that don't keep to the limits of requests, and no other code.
//
// Each test starts a real slipwickd process with the settings of a small box, and plays one kind of abusive client
// against one of its addresses, beside ordinary callers and readiness probes. The process has to stay within the
// memory of its box, which the test watches, and has to serve the ordinary callers during and after the abuse.
//
//	go test ./cmd/slipwickd/abuse -v -abuse-for 8s
//
// plays each client for 8 s and logs the memory of the process and how the ordinary callers fared.
package abuse
