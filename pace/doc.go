// Package pace estimates durations from observed ones: how fast the engines of a pool prefill
// prompts, how long its responses take to begin, and for how long a request will occupy a slot. The
// estimates follow changes within the last few dozen to a few hundred observations.
package pace
