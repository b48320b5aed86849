package emulation

// Framing on the wire, on top of the encoded message. The first was measured
// on a real connection by TestStreamFraming of package peer; packet headers are
// those of IPv4 with TCP timestamps, and of IPv4 with UDP.
const (
	streamFraming = 14
	tcpHeaders    = 52
	udpHeaders    = 28
)

// Traffic is what one router sent and received for control.
type Traffic struct {
	Bytes    int
	Messages int
}

func (t *Traffic) add(bytes int) {
	t.Bytes += bytes
	t.Messages++
}
