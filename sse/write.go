package sse

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Write writes one event with a single call of w.Write.
func Write(w io.Writer, event Event) error {
	var buffer bytes.Buffer
	writeField(&buffer, "id", []byte(event.ID))
	writeField(&buffer, "event", []byte(event.Type))
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		buffer.WriteString("data: ")
		buffer.Write(line)
		buffer.WriteByte('\n')
	}
	buffer.WriteByte('\n')
	_, err := w.Write(buffer.Bytes())
	return errors.Wrap(err, "write event")
}

func writeField(buffer *bytes.Buffer, name string, value []byte) {
	if len(value) == 0 {
		return
	}
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.Write(value)
	buffer.WriteByte('\n')
}
