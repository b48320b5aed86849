// Package claims makes each request with a key run at most once, whichever routers its retries go
// through. A claim is durable in the platform's store before its request is sent. Keys hash to
// journals. Each journal is written in batches by one router at a time, its holder, and fenced by
// conditional updates: a paused holder can no longer write once its successor has written.
package claims
