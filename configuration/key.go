package configuration

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hash by which the configuration stores an API key: SHA-256 in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
