// Package tomlfile decodes TOML files strictly. Each problem names the file, the
// line and the key; for an unknown key it suggests the nearest known one.
package tomlfile
