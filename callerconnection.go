package slipwick

// CallerConnection is the connection over which a request of a caller arrived.
type CallerConnection interface {
	// BeginBody tells that the body of a request is being read until EndBody. Meanwhile the connection may be closed to
	// make room for others.
	BeginBody()
	EndBody()
	// StopReading makes all further reads fail, and the end of the connection leave the caller time to read the response.
	// It is for refusals of requests that were not read to their end.
	StopReading()
}
