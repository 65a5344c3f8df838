package tomlfile

import "time"

// Duration is a time.Duration that is written as "250ms" in TOML.
type Duration time.Duration

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}
