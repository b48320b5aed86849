package slipwick

// CacheEvent reports that an engine stored or evicted a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Chat is the chat whose prefix was stored or evicted.
	Chat    string `json:"chat"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents is the result of reading an engine's cache events. They are hints: they arrive
// late and some may be missing. Gap is true if events before the first were lost; prefixes
// that they concerned then count as unknown and not as uncached.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Gap    bool         `json:"gap"`
}
