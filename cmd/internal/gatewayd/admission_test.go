package gatewayd

import (
	"net/http"
	"testing"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

// TestAdmissionFollowsTheSettings has a running gateway read settings with admission on, auto and off:
// its requests need permits accordingly, and its status shows what the source decides.
func TestAdmissionFollowsTheSettings(t *testing.T) {
	r := startReady(t, newFixture(t), "r1")
	source := newFakeSource()
	source.status = slipwick.PermitStatus{
		InFlight:     3,
		Waiting:      2,
		WaitingBytes: 700,
		Workspaces: []slipwick.WorkspacePermits{
			{
				Workspace: "b",
				Waiting:   2,
				Share:     4,
			},
			{
				Workspace: "a",
				InFlight:  3,
			},
		},
	}
	r.permits.Small, r.permits.Large = source, source
	client := newClient()
	post := func(when string, want int) {
		t.Helper()
		if status, body, err := r.post(t, client, "/1/x"); status != want {
			t.Errorf("%s: got %d %q %v, want %d", when, status, body, err, want)
		}
	}
	reload := func(mode AdmissionMode) {
		r.ReadSettings = func() (*Settings, error) {
			settings := *r.Settings
			settings.Admission = mode
			return &settings, nil
		}
		r.reloadSettings()
	}
	check := func(when string, wantGranted int) {
		t.Helper()
		if granted, held, invalid := source.counts(); granted != wantGranted || held != 0 || invalid != 0 {
			t.Errorf("%s: got %d permits, %d held, %d wrong releases; want %d, 0, 0", when, granted, held, invalid, wantGranted)
		}
	}
	post("by default", http.StatusOK)
	check("by default", 0)
	reload(AdmissionAuto)
	post("auto, before a pace", http.StatusOK)
	check("auto, before a pace", 0)
	r.gateway.RecordPace()
	post("auto, after a pace", http.StatusOK)
	check("auto, after a pace", 0)
	if !r.admission.Active() {
		t.Error("auto, after a pace: got servers not chosen by their speed, want by it")
	}
	reload(AdmissionOn)
	post("on", http.StatusOK)
	check("on", 1)
	reload(AdmissionOff)
	post("off", http.StatusOK)
	check("off", 1)
	reload(AdmissionOn)
	source.set(func(source *fakeSource) { source.refuses = true })
	post("on, full", http.StatusServiceUnavailable)
	checkPoolStatus(t, readStatus(t, r))
}

// TestOneRoutersPaceStartsTheChoiceBySpeedAtOthers guards against routers of one fleet that choose servers
// differently until each of them has received a pace itself.
func TestOneRoutersPaceStartsTheChoiceBySpeedAtOthers(t *testing.T) {
	f := newFixture(t)
	first := startReady(t, f, "r1")
	second := startReady(t, f, "r2", first.Settings.Listen.Peers)
	for _, r := range []*testGateway{first, second} {
		r.admission.SetMode(AdmissionAuto)
	}
	first.gateway.RecordPace()
	lease, err := first.balancer.Acquire(&balance.Request{
		Pool: "p",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer first.balancer.Abandon(lease)
	for deadline := time.Now().Add(5 * time.Second); !second.admission.Active(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("got servers not chosen by their speed 5 s after another router received a pace, want by it")
		}
		first.balancer.RecordLoad(lease, balance.Load{
			Running: 1,
			Pace:    100,
		})
	}
}

// checkPoolStatus checks the status of the one pool of TestAdmissionFollowsTheSettings.
func checkPoolStatus(t *testing.T, s *Status) {
	t.Helper()
	if !s.Admission || len(s.Pools) != 1 {
		t.Fatalf("got %+v, want admission active and one pool", s)
	}
	got := s.Pools[0]
	if got.Pool != "p" || got.Permits == sourceNone || got.Slots == 0 || got.Waiting != 2 || got.WaitingBytes != 700 ||
		got.Refused != 1 {
		t.Errorf("got %+v, want the state of pool p at its source", got)
	}
	if len(got.Workspaces) != 2 || got.Workspaces[0].Workspace != "a" || got.Workspaces[0].InFlight != 3 ||
		got.Workspaces[1].Share != 4 {
		t.Errorf("got %+v, want the workspaces a and b", got.Workspaces)
	}
}
