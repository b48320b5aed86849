package jsonfile

import "time"

// Duration is a time.Duration written as a string, such as "1.5s".
type Duration time.Duration

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText writes the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Or gives the duration, or the default when it is zero.
func (d Duration) Or(standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return time.Duration(d)
}
