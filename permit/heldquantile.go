package permit

import (
	"time"

	"github.com/slipwick/slipwick/pace"
)

// heldQuantile estimates for how long nearly all permits are held.
type heldQuantile struct {
	window *pace.Window
}

func (h *heldQuantile) add(held time.Duration) {
	if h.window == nil {
		h.window = pace.NewWindow(heldWindow)
	}
	h.window.Add(held.Seconds())
}

func (h *heldQuantile) get() time.Duration {
	if h.window == nil {
		return initialHeld
	}
	return time.Duration(h.window.Quantile(takeoverQuantile) * float64(time.Second))
}
