package gatewayd

// AdmissionMode says whether admission control is in use: requests wait for permits while a pool is
// under pressure, and backend servers are chosen by their speed.
type AdmissionMode string

// The modes of admission control.
const (
	AdmissionOff AdmissionMode = "off"
	AdmissionOn  AdmissionMode = "on"
	// AdmissionAuto starts once a backend server reports its pace, which says that it shares its box with
	// others. Servers are then chosen by their speed, and requests wait for permits of pools with few
	// slots, which such a slowdown fills. It says nothing of workspaces that compete, so that pools with
	// many slots need no permits.
	AdmissionAuto AdmissionMode = "auto"
)

// orDefault returns AdmissionOff for the zero value.
func (m AdmissionMode) orDefault() AdmissionMode {
	if m == "" {
		return AdmissionOff
	}
	return m
}
