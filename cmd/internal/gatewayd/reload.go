package gatewayd

import (
	"context"

	"github.com/slipwick/slipwick/cmd/internal/events"
)

// watchSettings applies changed settings until ctx ends: the seeds, the grace period, admission
// control, and the bounds on load, cold servers and retries. Listen addresses, and the intervals and
// time limits in Bounds, are fixed until the process restarts.
func (p *Process) watchSettings(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			p.reloadSettings()
		}
	}
}

func (p *Process) reloadSettings() {
	if p.ReadSettings == nil {
		return
	}
	settings, err := p.ReadSettings()
	if err != nil {
		events.SettingsRefused.On(&p.Log).AnErr("cause", err).Send()
		return
	}
	p.seeds.Store(&settings.Seeds)
	p.gracePeriod.Store(int64(settings.GracePeriod))
	bounds := settings.Bounds.orDefaults()
	p.balancer.SetLoadBound(bounds.LoadFactor, bounds.LoadSlack)
	p.bounds.Store(&bounds)
	p.setColdLimits()
	p.admission.SetMode(settings.Admission)
	p.gateway.Budget.SetLimit(settings.Retries.Ratio, settings.Retries.Extra)
	events.SettingsReloaded.On(&p.Log).Int("seeds", len(settings.Seeds)).Dur("grace_ms", settings.GracePeriod).
		Float64("load_factor", bounds.LoadFactor).Float64("retry_ratio", settings.Retries.Ratio).
		Float64("retry_extra", settings.Retries.Extra).Str("admission", string(settings.Admission.orDefault())).Send()
}
