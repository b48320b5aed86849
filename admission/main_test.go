package admission

import (
	"testing"

	"github.com/slipwick/slipwick/internal/fixedseed"
)

// TestMain runs property-based tests with a fixed seed and 200 checks of each property.
func TestMain(m *testing.M) {
	fixedseed.Main(m, 200)
}
