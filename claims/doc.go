// Package claims makes each request with a key run at most once, whichever routers its retries go
// through. A claim is durable in the platform's store before its request is sent. Keys hash to
// journals. Each journal is written in batches by one router at a time, its holder, and fenced by
// conditional updates: a paused holder can no longer write once its successor has written.
//
// A journal is a sequence of segments, each stored as one object. Entries are added to the open
// segment; when that is full, it is sealed and the next one is opened. A slot is the number of an
// object; once all entries of its segment have expired, a later segment replaces it.
package claims
