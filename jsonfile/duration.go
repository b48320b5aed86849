package jsonfile

import "time"

// Duration is a time.Duration written as a string, such as "1.5s".
type Duration time.Duration

// UnmarshalText accepts the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText uses the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Or returns the duration, or the default if it is zero.
func (d Duration) Or(defaultValue time.Duration) time.Duration {
	if d == 0 {
		return defaultValue
	}
	return time.Duration(d)
}
