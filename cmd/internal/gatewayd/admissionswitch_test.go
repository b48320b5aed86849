package gatewayd

import (
	"slices"
	"testing"
)

// TestAdmissionSwitch guards against admission control that starts without being asked for, doesn't
// start with the first pace, or doesn't follow the settings.
func TestAdmissionSwitch(t *testing.T) {
	for _, test := range []struct {
		mode                AdmissionMode
		want, wantAfterPace bool
	}{
		{
			mode: "",
		},
		{
			mode: AdmissionOff,
		},
		{
			mode:          AdmissionOn,
			want:          true,
			wantAfterPace: true,
		},
		{
			mode:          AdmissionAuto,
			wantAfterPace: true,
		},
	} {
		s := &admissionSwitch{}
		s.SetMode(test.mode)
		if got := s.Active(); got != test.want {
			t.Errorf("%q: got active %t, want %t", test.mode, got, test.want)
		}
		s.RecordPace()
		if got := s.Active(); got != test.wantAfterPace {
			t.Errorf("%q: got active %t after the first pace, want %t", test.mode, got, test.wantAfterPace)
		}
		if got, want := s.NeedsPermits(), test.mode == AdmissionOn; got != want {
			t.Errorf("%q: got permits needed %t after the first pace, want %t", test.mode, got, want)
		}
	}
}

// TestAutoPermits guards against permits in mode auto without a pace, or for pools with many slots.
func TestAutoPermits(t *testing.T) {
	s := &admissionSwitch{
		AutoPermits: true,
	}
	check := func(when string, wantPermits, wantShares bool) {
		t.Helper()
		if permits, shares := s.NeedsPermits(), s.NeedsShares(); permits != wantPermits || shares != wantShares {
			t.Errorf("%s: got permits %t and shares %t, want %t and %t", when, permits, shares, wantPermits, wantShares)
		}
	}
	s.SetMode(AdmissionAuto)
	check("auto, before a pace", false, false)
	s.RecordPace()
	check("auto, after a pace", true, false)
	s.SetMode(AdmissionOn)
	check("on", true, true)
	s.SetMode(AdmissionOff)
	check("off", false, false)
}

// TestAdmissionSwitchReportsChanges guards against parts that are told of a state twice or not at all.
func TestAdmissionSwitchReportsChanges(t *testing.T) {
	var got []bool
	s := &admissionSwitch{
		OnChange: func(active bool) { got = append(got, active) },
	}
	s.SetMode(AdmissionAuto)
	s.RecordPace()
	s.RecordPace()
	s.SetMode(AdmissionOn)
	s.SetMode(AdmissionOff)
	s.SetMode(AdmissionAuto)
	if want := []bool{true, false, true}; !slices.Equal(got, want) {
		t.Errorf("got changes to %v, want %v", got, want)
	}
}
