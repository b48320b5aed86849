package slipwick

// CacheEvent tells of one prompt prefix in an engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Chat is the chat whose prefix was stored or evicted.
	Chat    string `json:"chat"`
	Evicted bool   `json:"evicted"`
}

// CacheEvents is one read of an engine's cache events. They are hints: late
// and with gaps. Gap says that events before the first were lost, so that
// what they told of is unknown rather than cold.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Gap    bool         `json:"gap"`
}
