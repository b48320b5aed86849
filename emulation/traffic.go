package emulation

// Bytes that are added to an encoded message. TestStreamFraming of package peer
// measures the stream framing on a real connection. The headers are those of
// IPv4 and TCP with timestamps, and of IPv4 and UDP.
const (
	streamFraming = 14
	tcpHeaders    = 52
	udpHeaders    = 28
)

// Traffic counts the control messages that one router sent and received, and
// their bytes with framing and headers.
type Traffic struct {
	Bytes    int
	Messages int
}

func (t *Traffic) add(bytes int) {
	t.Bytes += bytes
	t.Messages++
}
