package burn

// firstTokenShare is the share of requests that the first-token objective is
// for: 95 of 100.
const firstTokenShare = 0.95

// Rate is how fast an error budget burns: 1 spends it exactly, above 1 it runs
// out early. Nil stands for no objective or no requests.
type Rate *float64

// Availability works out the burn of an availability objective, 0 to 1.
func Availability(counts Counts, objective float64) Rate {
	return rate(counts.Bad, counts.Total, objective)
}

// FirstToken works out the burn of a first-token objective.
func FirstToken(counts Counts) Rate {
	return rate(counts.Slow, counts.Tokens, firstTokenShare)
}

func rate(bad, total uint64, objective float64) Rate {
	if total == 0 || objective <= 0 || objective >= 1 {
		return nil
	}
	burned := float64(bad) / float64(total) / (1 - objective)
	return &burned
}
