// Package claims makes requests with a key run at most once, through whatever
// router they are sent again. A claim is durable in the platform before its
// request is sent. Keys hash to journals; each is written by one router at a
// time, in batches, and fenced by conditional updates: a paused writer whose
// successor has written can't add to it.
package claims
