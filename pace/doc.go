// Package pace estimates durations from observed ones: how fast the engines of a pool prefill
// prompts, and how long its responses take to begin. The estimates follow changes within the last
// few dozen to a few hundred observations.
package pace
