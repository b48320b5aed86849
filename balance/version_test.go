package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// TestRequestKeepsToItsVersion guards against a request for one version that gets another one, by a canary, by a
// permit that names the server, or because its version has no server left.
func TestRequestKeepsToItsVersion(t *testing.T) {
	for _, share := range []float64{0, 0.5, 1} {
		b := newCanaryBalancer(share)
		for i := range uint64(200) {
			for _, version := range []string{"v1", "v2"} {
				request := prompt(i % 20)
				if i%2 == 0 {
					request = &Request{
						Pool: "p",
					}
				}
				request.Version, request.HasVersion = version, true
				if withheld := b.Withheld(request); len(withheld) != 6 {
					t.Fatalf("got %d servers withheld, want the 6 of the other version", len(withheld))
				}
				lease := acquire(t, b, request)
				if lease.Version != version {
					t.Fatalf("share %v: got a server of %s, want %s", share, lease.Version, version)
				}
				request.Backend = lease.Backend.ID
				b.Release(lease, slipwick.EvidenceGood)
				if named := acquire(t, b, request); named.Backend.ID != lease.Backend.ID {
					t.Fatalf("got %s, want %s, which the request names", named.Backend.ID, lease.Backend.ID)
				} else {
					b.Abandon(named)
				}
			}
		}
		gone := &Request{
			Pool:       "p",
			Version:    "v0",
			HasVersion: true,
		}
		if lease, err := b.Acquire(gone); !slipwick.IsKind(err, slipwick.KindNoBackend) {
			t.Errorf("got %+v, %v for a version without servers, want no backend server", lease, err)
		}
		if b.HasVersion("p", "v0") || !b.HasVersion("p", "v1") {
			t.Error("got another answer than that v1 has servers and v0 has none")
		}
	}
}

// TestLastServersOfAVersionStayBelowTheLoadBound guards against the last engines of a version that get all the
// streams which it began, because they are compared with each other alone.
func TestLastServersOfAVersionStayBelowTheLoadBound(t *testing.T) {
	b := New("d")
	b.SetBackends(append(entriesOfVersion("v1", 2), entriesOfVersion("v2", 16)...))
	for i := range uint64(36) {
		acquire(t, b, prompt(i))
	}
	taken := 0
	for i := range uint64(200) {
		request := prompt(1000 + i)
		request.Version, request.HasVersion = "v1", true
		lease, err := b.Acquire(request)
		if err == nil {
			taken++
			continue
		}
		if typed, ok := slipwick.AsError(err); !ok || typed.Kind != slipwick.KindOverloaded || typed.RetryAfter <= 0 {
			t.Fatalf("got %+v, %v, want a refusal that says when to retry", lease, err)
		}
	}
	if taken == 0 {
		t.Error("got no request at the version's engines, want some")
	}
	total, highest := 0, 0
	for _, s := range b.pools["p"] {
		total, highest = total+s.inFlight, max(highest, s.inFlight)
	}
	mean := float64(total) / 18
	if limit := b.LoadFactor*mean + b.LoadSlack; float64(highest) > limit {
		t.Errorf("got %d requests at an engine with a mean of %.1f, want at most %.1f", highest, mean, limit)
	}
}

// TestOnlyVersionRemembersThoseThatAreGone guards against a router that takes the version listed now for the one at
// which an earlier stream began.
func TestOnlyVersionRemembersThoseThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const within = 20 * time.Second
		b := New("d")
		check := func(when, want string) {
			t.Helper()
			version, since, ok := b.OnlyVersion("p")
			if !ok || time.Since(since) < within {
				version = ""
			}
			if version != want {
				t.Errorf("%s: got %q, %t since %v, want %q", when, version, ok, since, want)
			}
		}
		check("no list", "")
		b.SetBackends(entriesOfVersion("v1", 2))
		time.Sleep(within - time.Second)
		check("the list is known for less than the time", "")
		time.Sleep(time.Second)
		check("one version for that time", "v1")
		b.SetBackends(append(entriesOfVersion("v1", 2), entriesOfVersion("v2", 1)...))
		check("two versions", "")
		b.SetBackends(entriesOfVersion("v2", 1))
		time.Sleep(within - time.Second)
		check("the other version was listed within the time", "")
		time.Sleep(time.Second)
		check("the other version is gone for that time", "v2")
		changed := entriesOfVersion("v2", 1)
		changed[0].Version = "v3"
		b.SetBackends(changed)
		check("a server has another version now", "")
		b.MarkCachesKnown()
		if _, since, ok := b.OnlyVersion("p"); !ok || time.Since(since) != 0 {
			t.Errorf("got %t since %v at a first start, want the time at which the other version was last listed", ok, since)
		}
	})
}
