//go:build !race

package gatewayd

import "testing"

func useOneProcessor(*testing.T) {}
