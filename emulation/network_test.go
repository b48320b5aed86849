package emulation

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// TestOnlyLoadsAreLostAsLoads guards against envelopes with claims, the configuration, notices or crashes that are
// delayed and lost as load reports. It sets each field of an envelope alone, also those added later.
func TestOnlyLoadsAreLostAsLoads(t *testing.T) {
	fields := (&peerpb.Envelope{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		envelope := &peerpb.Envelope{}
		message := envelope.ProtoReflect()
		if field.IsList() {
			list := message.Mutable(field).List()
			list.Append(list.NewElement())
		} else {
			message.Set(field, message.NewField(field))
		}
		want := field.Name() == protoreflect.Name("loads") || field.Name() == protoreflect.Name("totals")
		if got := loadsOnly(envelope); got != want {
			t.Errorf("%s alone: got %t, want %t", field.Name(), got, want)
		}
	}
}
