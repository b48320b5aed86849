//go:build !race

package directory

import "math"

const mostRouters = math.MaxInt
