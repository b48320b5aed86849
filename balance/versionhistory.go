package balance

import (
	"slices"
	"time"
)

// versionHistory remembers for each pool when versions were last listed that are not listed any more.
type versionHistory map[string]map[string]time.Time

// VersionRetention is how long a version is remembered at least that is not listed any more.
const VersionRetention = 10 * time.Minute

// noteUnlisted notes that a server of a version is not listed any more, or has another version now.
func (h versionHistory) noteUnlisted(pool, version string, now time.Time) {
	versions := h[pool]
	if versions == nil {
		versions = make(map[string]time.Time)
		h[pool] = versions
	}
	for other, at := range versions {
		if now.Sub(at) > VersionRetention {
			delete(versions, other)
		}
	}
	versions[version] = now
}

// OnlyVersion returns the version of all servers that are listed in the pool, and since when there has been no other
// one as far as this router knows; the zero time stands for always. ok is false if there are several versions, or none.
func (b *Balancer) OnlyVersion(pool string) (version string, since time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := b.pools[pool]
	if len(servers) == 0 {
		return "", time.Time{}, false
	}
	version = servers[0].Version
	if slices.ContainsFunc(servers, func(s *server) bool { return s.Version != version }) {
		return "", time.Time{}, false
	}
	if !b.startedEmpty {
		since = b.firstListAt
	}
	for other, at := range b.versionHistory[pool] {
		if other != version && at.After(since) {
			since = at
		}
	}
	return version, since, true
}

// Versions returns the versions of the listed servers of a pool.
func (b *Balancer) Versions(pool string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var versions []string
	for _, s := range b.pools[pool] {
		if !slices.Contains(versions, s.Version) {
			versions = append(versions, s.Version)
		}
	}
	return versions
}
