package gatewayd

// AdmissionMode says whether admission control is in use: requests wait for permits while a pool is
// under pressure, and backend servers are chosen by their speed.
type AdmissionMode string

// The modes of admission control.
const (
	AdmissionOff AdmissionMode = "off"
	AdmissionOn  AdmissionMode = "on"
	// AdmissionAuto chooses servers by their speed once one of them reports its pace, which says that
	// it shares its box with others. Requests need no permits.
	AdmissionAuto AdmissionMode = "auto"
)

// orDefault returns AdmissionOff for the zero value.
func (m AdmissionMode) orDefault() AdmissionMode {
	if m == "" {
		return AdmissionOff
	}
	return m
}
