// Package tomlfile reads TOML files strictly: each problem names the file, the
// line and the key, and an unknown key is answered with the nearest known one.
package tomlfile
