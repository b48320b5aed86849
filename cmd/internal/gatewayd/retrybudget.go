package gatewayd

import (
	"github.com/slipwick/slipwick/retry"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// newRetryBudget creates this router's part of the fleet's retry budget.
func (p *Process) newRetryBudget() *retry.Budget {
	settings := p.Settings.Retries
	return &retry.Budget{
		Ratio:     settings.Ratio,
		Extra:     settings.Extra,
		Window:    settings.Window,
		Routers:   p.node.FleetSize,
		Restarted: !p.Settings.FirstStart,
		OnRequest: func(pool string) { p.metrics.budgetRequests.WithLabelValues(pool).Inc() },
		OnRetry:   func(pool string) { p.metrics.retries.WithLabelValues(pool).Inc() },
		OnSpent:   p.onRetryBudgetSpent,
	}
}

func (p *Process) onRetryBudgetSpent(usage retry.Usage) {
	events.RetryBudgetSpent.On(&p.Log).Str("pool", usage.Pool).Int("requests", usage.Requests).
		Int("retries", usage.Retries).Int("routers", usage.Routers).Int("fleet_requests", usage.FleetRequests).
		Int("fleet_retries", usage.FleetRetries).Dur("age_ms", usage.Age).Send()
}
