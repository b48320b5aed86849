// Package pace learns how long things take from what was seen of them: how fast
// engines of a pool read, how long a route's answers take to begin. What is
// learnt follows changes within the last few dozen to hundred observations.
package pace
