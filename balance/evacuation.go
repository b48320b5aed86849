package balance

// SetEvacuated sets the data centres whose backend servers get no new requests. Running
// requests go on, and other engines still fetch prompts from there. When an evacuation ends,
// the prompts that were needed meanwhile are cached elsewhere, and move back only as load
// requires: this way no burst of requests meets engines that have become cold before their
// entries say so. Counting all evacuated engines as cold until the entries could have been updated
// would leave them nearly idle for that long.
func (b *Balancer) SetEvacuated(dataCentres []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		b.evacuated[name] = true
	}
	for _, s := range b.servers {
		s.evacuated = b.evacuated[s.DataCentre]
	}
}
