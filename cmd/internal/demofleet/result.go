package demofleet

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick/cmd/internal/cli"
)

// Result holds the measurements of a scenario.
type Result struct {
	// Requests counts the requests sent. One that was not run and is sent again
	// counts each time. The next four fields count them by outcome.
	Requests  int `json:"requests"`
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	// Duplicates counts the requests marked as not repeatable that ran more
	// than once, by the engines' own records.
	Duplicates int `json:"duplicates"`
	// Mismatched counts the answers that a router reported as completed although
	// they were incomplete or belonged to another request.
	Mismatched int `json:"mismatched"`
	// CacheReuse is the share of requests of returning chats whose prefix was
	// cached.
	CacheReuse float64 `json:"cache_reuse"`
	// SkewMax is the highest ratio of the busiest engine's load to the mean,
	// sampled while the mean is at least 4 requests.
	SkewMax float64 `json:"skew_max"`
	// ControlBytes is the control traffic that a router sends and receives, in
	// bytes per second, as the mean over routers and time.
	ControlBytes float64 `json:"control_bytes_per_second"`
}

// result adds up the callers' counts and the world's measurements over the elapsed
// time.
func (w *world) result(stats []callerStats, elapsed time.Duration) *Result {
	r := &Result{}
	runs := w.runCounts()
	returning, cached := 0, 0
	for _, s := range stats {
		r.Completed += s.completed
		r.NotRun += s.notRun
		r.Failed += s.failed
		r.Unknown += s.unknown
		r.Mismatched += s.mismatched
		returning += s.returning
		cached += s.cached
		for digest := range s.notRepeatable {
			if runs[digest] > 1 {
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
	for i, router := range w.routers {
		r.ControlBytes += float64(router.ControlBytes()-w.startBytes[i]) / elapsed.Seconds() / float64(len(w.routers))
	}
	return r
}

// runCounts returns how often each request ran at all engines, by its digest.
func (w *world) runCounts() map[string]int {
	runs := make(map[string]int)
	for _, e := range w.engines {
		for digest, count := range e.Runs() {
			runs[digest] += count
		}
	}
	return runs
}

// Check returns an error if no request completed, a request that is not
// repeatable ran more than once, or a caller got a wrong answer.
func (r *Result) Check() error {
	switch {
	case r.Completed == 0:
		return errors.New("no request was completed; run with --for 20s and check the progress lines")
	case r.Duplicates > 0:
		return errors.Errorf("%d non-repeatable requests ran more than once; report this as a bug", r.Duplicates)
	case r.Mismatched > 0:
		return errors.Errorf("%d answers were incomplete or belonged to another request; report this as a bug", r.Mismatched)
	default:
		return nil
	}
}

// Table returns the result as a table for the terminal.
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
