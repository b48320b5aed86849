package scripted

import (
	"slices"
	"testing"
)

// TestLedgerFindsBrokenRules guards against a ledger that misses a broken rule, or finds one that wasn't broken.
func TestLedgerFindsBrokenRules(t *testing.T) {
	run := Run{
		Server: "s",
		Stamp:  "s.1",
		Status: 200,
	}
	failedRun := Run{
		Server: "s",
		Stamp:  "s.1",
		Status: 500,
	}
	plain := Request{
		ID: "r",
	}
	stream := Request{
		ID:     "r",
		Kind:   StreamOnce,
		Events: 3,
	}
	body, events := bodyOf(&plain, "s.1"), streamOf(&stream, "s.1", 0)
	ok := func(body string) Outcome {
		return Outcome{
			Status:  200,
			Stamp:   "s.1",
			Body:    body,
			IsWhole: true,
		}
	}
	for name, c := range map[string]struct {
		request Request
		runs    []Run
		outcome Outcome
		want    []Rule
	}{
		"served": {
			request: plain,
			runs:    []Run{run},
			outcome: ok(body),
		},
		"refused": {
			request: plain,
			outcome: Outcome{
				Status:  503,
				IsWhole: true,
			},
		},
		"unknown": {
			request: plain,
			runs:    []Run{run},
			outcome: Outcome{
				Status:  502,
				IsWhole: true,
			},
		},
		"runs twice": {
			request: plain,
			runs:    []Run{run, run},
			outcome: ok(body),
			want:    []Rule{RunsTwice},
		},
		"repeatable runs twice": {
			request: Request{
				ID:   "r",
				Kind: Repeatable,
			},
			runs:    []Run{run, run},
			outcome: ok(body),
		},
		"refused though it ran": {
			request: plain,
			runs:    []Run{run},
			outcome: Outcome{
				Status:  429,
				IsWhole: true,
			},
			want: []Rule{RunsThoughRefused},
		},
		"success without a run": {
			request: plain,
			outcome: ok(body),
			want:    []Rule{IsMixedUp},
		},
		"success of a failed run": {
			request: plain,
			runs:    []Run{failedRun},
			outcome: ok(body),
			want:    []Rule{IsMixedUp},
		},
		"other body": {
			request: plain,
			runs:    []Run{run},
			outcome: ok("x" + body),
			want:    []Rule{IsMixedUp},
		},
		"cut body as complete": {
			request: plain,
			runs:    []Run{run},
			outcome: ok(body[:10]),
			want:    []Rule{IsMixedUp},
		},
		"cut body": {
			request: plain,
			runs:    []Run{run},
			outcome: Outcome{
				Status: 200,
				Stamp:  "s.1",
				Body:   body[:10],
			},
		},
		"stream": {
			request: stream,
			runs:    []Run{run},
			outcome: ok(events),
		},
		"stream without its end": {
			request: stream,
			runs:    []Run{run},
			outcome: ok(events[:40]),
			want:    []Rule{IsOutOfOrder},
		},
		"stream with events again": {
			request: stream,
			runs:    []Run{run},
			outcome: ok(events + events),
			want:    []Rule{IsOutOfOrder},
		},
		"events of another's run": {
			request: stream,
			runs:    []Run{run},
			outcome: ok(streamOf(&stream, "s.2", 0)),
			want:    []Rule{IsOutOfOrder},
		},
		"failure of the server": {
			request: plain,
			runs:    []Run{failedRun},
			outcome: Outcome{
				Status:  500,
				Stamp:   "s.1",
				IsWhole: true,
			},
		},
		"failure of another's run": {
			request: plain,
			runs:    []Run{run},
			outcome: Outcome{
				Status:  500,
				Stamp:   "s.1",
				IsWhole: true,
			},
			want: []Rule{IsMixedUp},
		},
		"another status of the run": {
			request: plain,
			runs:    []Run{failedRun},
			outcome: Outcome{
				Status: 404,
				Stamp:  "s.1",
			},
			want: []Rule{IsMixedUp},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			l.Sent(c.request)
			l.requests["r"].runs = c.runs
			l.Ended("r", c.outcome)
			var got []Rule
			for _, v := range l.Violations() {
				got = append(got, v.Rule)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if again := l.Violations(); len(again) > 0 {
				t.Errorf("got %v a second time, want nothing", again)
			}
		})
	}
}
