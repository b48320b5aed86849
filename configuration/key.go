package configuration

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey gives the form in which API keys are kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
