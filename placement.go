package slipwick

// Placement ranks a pool's backend servers for a chat.
type Placement interface {
	// Rank appends the indexes of the pool's backend servers to dst, the best for the chat
	// first, and returns the extended slice. The chat is given by its placement.ChatKey. Rank
	// does not allocate if dst has enough capacity.
	Rank(dst []int, chat uint64) []int
	// Len returns the number of ranked backend servers.
	Len() int
}
