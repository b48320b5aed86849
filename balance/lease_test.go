package balance

import (
	"testing"
	"time"
)

func TestStillAccepts(t *testing.T) {
	b := newBalancerIn(1, "d")
	lease := acquire(t, b, plainRequest)
	if !b.StillAccepts(lease) {
		t.Error("got false for a usable server, want true")
	}
	b.SetEvacuated([]string{"d"})
	if b.StillAccepts(lease) {
		t.Error("got true for a server in an evacuated data centre, want false")
	}
	b.SetEvacuated(nil)
	b.SetColdLimits(map[string]ColdLimit{
		"p": testLimit,
	})
	list := entriesIn(1, "d")
	list[0].ColdUntil = time.Now().Add(time.Hour)
	b.SetBackends(list)
	if b.StillAccepts(lease) {
		t.Error("got true for a server that became cold after the choice, want false")
	}
	b.SetBackends(nil)
	if b.StillAccepts(lease) {
		t.Error("got true for a server that is no longer listed, want false")
	}
}
