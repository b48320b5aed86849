package upstream

// ConnectionUse is one exchange of a connection.
type ConnectionUse struct {
	// Connection is the number of the connection, which is different for each one of the client and never 0.
	Connection uint64
	// Exchanges counts the exchanges before this one.
	Exchanges int
}

// use returns the current exchange of the connection.
func (c *connection) use() ConnectionUse {
	return ConnectionUse{
		Connection: c.number,
		Exchanges:  c.exchanges,
	}
}
