package balance

// TokensToPrefill returns how many tokens an engine that the request is sent to will probably have to
// prefill: only the unique ones if an engine is known to have the prompt cached.
func (b *Balancer) TokensToPrefill(request *Request) int {
	if len(request.Prompt) == 0 {
		return request.UniqueTokens
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	holders, _ := b.cacheIndex.holdersByPart.Peek(request.Prompt[len(request.Prompt)-1].Key)
	for _, hash := range holders {
		if s := b.serversByHash[hash]; s != nil && s.Pool == request.Pool && request.allows(s) {
			return request.UniqueTokens
		}
	}
	return request.tokens()
}

// TokensToPrefill returns how many tokens the engine had to prefill for the request when it was chosen,
// unless it fetched them from another engine.
func (l *Lease) TokensToPrefill() int { return l.tokensToPrefill }
