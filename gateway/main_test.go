package gateway

import (
	"testing"

	"github.com/slipwick/slipwick/internal/fixedseed"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, 500)
}
