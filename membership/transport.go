package membership

// Transport sends packets to other routers. Send does not block and may lose, duplicate or reorder
// packets.
type Transport interface {
	Send(address string, packet []byte)
}
