package slipwick

// Placement orders a pool's backend servers for a chat.
type Placement interface {
	// Rank appends the indexes of the pool's backend servers to dst, best
	// first, and gives the extended slice. It does not allocate when dst
	// has room for them all.
	Rank(dst []int, chat uint64) []int
	// Len is the number of backend servers ranked.
	Len() int
}
