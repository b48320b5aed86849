package slipwick

// MaxObjectBytes is the largest value that the platform's object API takes.
const MaxObjectBytes = 1_000_000

// Version is an object's version in the platform; it grows with each write.
// Zero means the object does not exist.
type Version uint64

// Object is one value in the platform's object API.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}
