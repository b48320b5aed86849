package pace

import "time"

// PrefillEstimator estimates how long the engines of a pool take to the first token of a response:
// a base time plus the time to prefill the tokens of the prompt that are not cached. Requests that
// wait behind others take longer, so the estimates are low quantiles of the observed times. It is
// not safe for concurrent use.
type PrefillEstimator struct {
	// tokens holds the numbers of tokens to prefill of the latest requests, shortTimes the times to
	// the first token, in milliseconds, of requests with few tokens to prefill, longPerToken the
	// milliseconds per token of requests with many.
	tokens, shortTimes, longPerToken *Window
}

const (
	// prefillWindow is how many requests are kept, longWindow how many with many tokens to prefill,
	// which are rarer: some seconds of a pool's traffic.
	prefillWindow = 128
	longWindow    = 48
	// minShort and minLong are how many requests have to be observed before an estimate replaces
	// the initial value.
	minShort = 24
	minLong  = 8
	// A request is short if it has no more tokens to prefill than the shortQuantile of the
	// requests. It is long if it has at least longFactor times that, and at least minLongTokens: its
	// time hardly depends on the base time.
	shortQuantile = 0.5
	longFactor    = 8
	minLongTokens = 500
	// unloadedQuantile is the quantile of the observed times that stands for an engine with nothing
	// else to prefill.
	unloadedQuantile = 0.25
)

// Initial values and bounds of the estimates. The initial values fit a large model on current
// hardware; the bounds are ten times slower than the slowest known engine and several times faster
// than the fastest.
const (
	InitialTokensPerMillisecond = 100.0
	minTokensPerMillisecond     = 2.0
	maxTokensPerMillisecond     = 2000.0

	InitialBaseTime = 55 * time.Millisecond
	minBaseTime     = time.Millisecond
	maxBaseTime     = 2 * time.Second
)

// NewPrefillEstimator returns an estimator with the initial values.
func NewPrefillEstimator() *PrefillEstimator {
	return &PrefillEstimator{
		tokens:       NewWindow(prefillWindow),
		shortTimes:   NewWindow(prefillWindow),
		longPerToken: NewWindow(longWindow),
	}
}

// Record adds the time to the first token of a request that had the given number of tokens to
// prefill.
func (e *PrefillEstimator) Record(tokens int, took time.Duration) {
	if took <= 0 || tokens < 0 {
		return
	}
	e.tokens.Add(float64(tokens))
	typical := e.tokens.Quantile(shortQuantile)
	switch {
	case float64(tokens) <= typical:
		e.shortTimes.Add(milliseconds(took))
	case float64(tokens) >= max(longFactor*typical, minLongTokens):
		e.longPerToken.Add(max(milliseconds(took)-milliseconds(e.BaseTime()), 0) / float64(tokens))
	}
}

// BaseTime returns the time to the first token of a request with nothing to prefill.
func (e *PrefillEstimator) BaseTime() time.Duration {
	if e.shortTimes.Len() < minShort {
		return InitialBaseTime
	}
	base := time.Duration(e.shortTimes.Quantile(unloadedQuantile) * float64(time.Millisecond))
	return min(max(base, minBaseTime), maxBaseTime)
}

// TokensPerMillisecond returns how many tokens an engine prefills in a millisecond.
func (e *PrefillEstimator) TokensPerMillisecond() float64 {
	if e.longPerToken.Len() < minLong {
		return InitialTokensPerMillisecond
	}
	perToken := e.longPerToken.Quantile(unloadedQuantile)
	if perToken <= 0 {
		return maxTokensPerMillisecond
	}
	return min(max(1/perToken, minTokensPerMillisecond), maxTokensPerMillisecond)
}

// PrefillTime returns how long an unloaded engine takes to the first token with the given number of
// tokens to prefill.
func (e *PrefillEstimator) PrefillTime(tokens int) time.Duration {
	return e.BaseTime() + time.Duration(float64(tokens)/e.TokensPerMillisecond()*float64(time.Millisecond))
}

// TokensWithin returns how many tokens an engine prefills in a duration.
func (e *PrefillEstimator) TokensWithin(within time.Duration) int {
	return int(e.TokensPerMillisecond() * milliseconds(within))
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
