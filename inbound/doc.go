// Package inbound bounds what the connections of callers can make a process hold before and after the head of a request
// is read: the number of connections, the bytes and fields of heads, and the processor time that one connection takes
// from the others. Its listeners are meant for http.Server; TrackState has to be the server's ConnState hook.
package inbound
