package quota

const (
	// usageBytesPerSecond is what a router may receive for the usage of pools; a fifth of the 24 KB/s for
	// control is left for varying sizes.
	usageBytesPerSecond = 18_500
	// updatesPerSecond is how often each router sends its entries.
	updatesPerSecond = 5
	// entryBytes is about what an entry takes in a datagram, usageHeaderBytes what the entries take
	// together besides, with the sums of those left out at three priorities.
	entryBytes, usageHeaderBytes = 10, 56
	// minEntries and maxEntries bound the entries of a datagram; maxEntries fit a packet.
	minEntries, maxEntries = 4, 60
)

// EntryLimit returns how many entries an update may list besides the sums of those left out, given the
// number of routers from which a router receives updates.
func EntryLimit(senders int) int {
	bytes := usageBytesPerSecond / (updatesPerSecond * max(senders, 1))
	return min(max((bytes-usageHeaderBytes)/entryBytes, minEntries), maxEntries)
}

// FleetEntryLimit returns how many entries the sums of the fleet may list. It leaves room in the updates
// of routers and groups for workspaces that the sums don't list yet.
func FleetEntryLimit(senders int) int {
	return max((EntryLimit(senders)-1)*3/4, minEntries/2)
}
