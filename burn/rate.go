package burn

import "time"

// firstTokenRatio is the ratio of requests whose first token must arrive in the time that the
// workspace's first-token objective allows: the objective is a 95th percentile.
const firstTokenRatio = 0.95

// Rate is the burn rate of an error budget, which is the ratio of requests that may miss the
// objective. At rate 1 the budget is used up exactly by the end of its period, at a higher rate
// earlier. It is nil without an objective or without requests.
type Rate *float64

// Availability returns the burn rate for an availability objective between 0 and 1, exclusive;
// any other objective counts as none.
func Availability(counts Counts, objective float64) Rate {
	return rate(counts.Bad, counts.Total, objective)
}

// FirstToken returns the burn rate for a first-token objective; 0 stands for none.
func FirstToken(counts Counts, objective time.Duration) Rate {
	if objective <= 0 {
		return nil
	}
	return rate(counts.SlowFirstTokens, counts.FirstTokens, firstTokenRatio)
}

func rate(bad, total uint64, objective float64) Rate {
	if total == 0 || objective <= 0 || objective >= 1 {
		return nil
	}
	burnRate := float64(bad) / float64(total) / (1 - objective)
	return &burnRate
}
