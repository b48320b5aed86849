package httpclient

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxNamingServers bounds the servers that a Naming remembers.
const maxNamingServers = 4096

// Naming remembers which servers name their requests in their responses, by a key of the server. It is safe for
// concurrent use.
type Naming struct {
	mu      sync.Mutex
	servers *lru.LRU[string, struct{}]
}

// NewNaming returns a Naming without any server.
func NewNaming() *Naming {
	// The error is for sizes below 1.
	servers, _ := lru.NewLRU[string, struct{}](maxNamingServers, nil)
	return &Naming{
		servers: servers,
	}
}

// Record records that a response of the server named its request.
func (n *Naming) Record(key string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers.Add(key, struct{}{})
}

// Names reports whether a response of the server has named its request.
func (n *Naming) Names(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers.Contains(key)
}
