package scripted

import (
	"time"

	"pgregory.net/rapid"
)

// maxPlans is how many plans a drawn mix has at most, maxFurther how often a plan sends further bytes.
const (
	maxPlans   = 6
	maxFurther = 2
	// maxFurtherPause bounds the pause before further bytes.
	maxFurtherPause = 60 * time.Millisecond
)

// maxIdleTimes are the times after which idle connections are closed.
var maxIdleTimes = []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond}

// rejectionBytes are the lengths of the bodies of rejections, furtherBytes those of further responses, and lengthErrors
// how much the announced lengths of these are wrong.
var (
	rejectionBytes = []int{0, 0, 60, 64 << 10}
	furtherBytes   = []int{0, 0, 40}
	lengthErrors   = []int{0, 0, 0, -20, 30, 5000}
)

// DrawMix draws a mix for a property-based test, with these pauses before responses.
func DrawMix(t *rapid.T, pauses []time.Duration) *Mix {
	drawPlan := func(t *rapid.T) Plan { return DrawPlan(t, pauses) }
	return &Mix{
		Seed:  rapid.Uint64().Draw(t, "seed"),
		Share: rapid.IntRange(5, 95).Draw(t, "share"),
		Plans: rapid.SliceOfN(rapid.Custom(drawPlan), 1, maxPlans).Draw(t, "plans"),
	}
}

// DrawPlan draws one way to answer a send.
func DrawPlan(t *rapid.T, pauses []time.Duration) Plan {
	plan := Plan{
		Interim: rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "interim"),
		Pause:   rapid.SampledFrom(pauses).Draw(t, "pause"),
		Action: rapid.SampledFrom([]Action{
			ActionRun, ActionRun, ActionReject, ActionReject, ActionReject, ActionDrop,
		}).Draw(t, "action"),
		IsEarly: rapid.IntRange(0, 3).Draw(t, "early") == 3,
		Framing: Framing(rapid.IntRange(0, int(ByClose)).Draw(t, "framing")),
		Further: rapid.SliceOfN(rapid.Custom(drawFurther), 0, maxFurther).Draw(t, "further"),
	}
	if rapid.IntRange(0, 7).Draw(t, "closes when idle") == 7 {
		plan.MaxIdle = rapid.SampledFrom(maxIdleTimes).Draw(t, "idle time")
	}
	if rapid.IntRange(0, 2).Draw(t, "ends") == 0 {
		plan.End = End(rapid.IntRange(0, int(EndSilent)).Draw(t, "end"))
	}
	switch plan.Action {
	case ActionRun:
		plan.RunsLate = rapid.Bool().Draw(t, "runs late")
		plan.Status = rapid.SampledFrom([]int{200, 200, 200, 500, 504, 503, 404}).Draw(t, "status")
	case ActionReject:
		plan.Status = rapid.SampledFrom([]int{503, 503, 503, 429, 421, 400}).Draw(t, "status")
		plan.RejectionBytes = rapid.SampledFrom(rejectionBytes).Draw(t, "rejection bytes")
		plan.IsUnnamed = rapid.IntRange(0, 5).Draw(t, "unnamed") == 0
	default:
		plan.End = rapid.SampledFrom([]End{EndLost, EndLostByReset, EndSilent}).Draw(t, "end of a dropped request")
	}
	return plan
}

func drawFurther(t *rapid.T) Further {
	return Further{
		Moment:      Moment(rapid.IntRange(0, int(BeforeNext)).Draw(t, "moment")),
		Content:     Content(rapid.IntRange(0, int(NoResponse)).Draw(t, "content")),
		Status:      rapid.SampledFrom([]int{503, 503, 429, 421, 408, 500, 404, 307, 200}).Draw(t, "status of it"),
		IsRejection: rapid.Bool().Draw(t, "rejection"),
		BodyBytes:   rapid.SampledFrom(furtherBytes).Draw(t, "bytes of it"),
		LengthError: rapid.SampledFrom(lengthErrors).Draw(t, "error of its length"),
		Pause:       time.Duration(rapid.Int64Range(0, int64(maxFurtherPause)).Draw(t, "pause before it")),
	}
}
