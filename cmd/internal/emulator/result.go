package emulator

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

// Result is what a scenario measured.
type Result struct {
	// Requests counts the calls made, those that were not run included.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	// Duplicates counts requests marked not to be repeated that ran more
	// than once, by the engines' own records.
	Duplicates int `json:"duplicates"`
	// Mismatched counts answers passed as whole that were not, or that
	// belonged to another request.
	Mismatched int `json:"mismatched"`
	// CacheReuse is the share of returning chats that found their prefix.
	CacheReuse float64 `json:"cache_reuse"`
	// SkewMax is the busiest engine's load over the mean, while the mean is
	// at least 4 requests.
	SkewMax float64 `json:"skew_max"`
	// ControlBytes is what a router sends and receives for control, as the
	// mean over routers and time.
	ControlBytes float64 `json:"control_bytes_per_second"`
}

func (w *world) result(tallies []tally, took time.Duration) *Result {
	r := &Result{}
	ran := w.ran()
	returning, cached := 0, 0
	for _, t := range tallies {
		r.Completed += t.completed
		r.NotRun += t.notRun
		r.Failed += t.failed
		r.Unknown += t.unknown
		r.Mismatched += t.mismatched
		returning += t.returning
		cached += t.cached
		for digest := range t.once {
			if ran[digest] > 1 {
				r.Duplicates++
			}
		}
	}
	r.Requests = r.Completed + r.NotRun + r.Failed + r.Unknown
	if returning > 0 {
		r.CacheReuse = float64(cached) / float64(returning)
	}
	w.mu.Lock()
	r.SkewMax = w.skewMax
	w.mu.Unlock()
	for _, router := range w.routers {
		r.ControlBytes += float64(router.ControlBytes()) / took.Seconds() / float64(len(w.routers))
	}
	return r
}

// ran adds up the engines' records by the digest of the request.
func (w *world) ran() map[string]int {
	ran := make(map[string]int)
	for _, e := range w.engines {
		for digest, count := range e.Runs() {
			ran[digest] += count
		}
	}
	return ran
}

// Check refuses a result that breaks what must always hold.
func (r *Result) Check() error {
	switch {
	case r.Completed == 0:
		return errors.New("no request was completed; run with --for 20s and look at the progress lines")
	case r.Duplicates > 0:
		return errors.Errorf("%d requests ran more than once; report this as a fault", r.Duplicates)
	case r.Mismatched > 0:
		return errors.Errorf("%d answers were not whole or not the caller's; report this as a fault", r.Mismatched)
	default:
		return nil
	}
}

// Table shows the result to people.
func (r *Result) Table() cli.Table {
	return cli.Table{
		Header: []string{"MEASURE", "VALUE"},
		Rows: [][]string{
			{"requests", fmt.Sprint(r.Requests)},
			{"completed", fmt.Sprint(r.Completed)},
			{"not_run", fmt.Sprint(r.NotRun)},
			{"failed", fmt.Sprint(r.Failed)},
			{"unknown", fmt.Sprint(r.Unknown)},
			{"duplicates", fmt.Sprint(r.Duplicates)},
			{"mismatched", fmt.Sprint(r.Mismatched)},
			{"cache_reuse", fmt.Sprintf("%.3f", r.CacheReuse)},
			{"skew_max", fmt.Sprintf("%.2f", r.SkewMax)},
			{"control_bytes_per_second", fmt.Sprintf("%.0f", r.ControlBytes)},
		},
	}
}
