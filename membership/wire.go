package membership

// Wire carries packets between routers. Send does not block and may lose,
// double or reorder packets.
type Wire interface {
	Send(address string, packet []byte)
}
