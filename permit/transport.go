package permit

// Transport sends datagrams to other routers. Send doesn't block and may lose, double or reorder them.
type Transport interface {
	Send(address string, packet []byte)
}
