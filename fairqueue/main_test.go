package fairqueue

import (
	"testing"

	"github.com/slipwick/slipwick/internal/fixedseed"
)

// checks is the number of checks of each property.
const checks = 300

func TestMain(m *testing.M) {
	fixedseed.Main(m, checks)
}
