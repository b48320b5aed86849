package slipwick

// MaxObjectBytes is the size of the largest value that the platform's object API accepts.
const MaxObjectBytes = 1_000_000

// Version is an object's version in the platform. It increases with each write; zero means
// that the object does not exist.
type Version uint64

// Object is one value in the platform's object API.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}
