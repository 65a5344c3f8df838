// Package node reads the TOML file of one process: its identity, its listen
// addresses, and its control replicas and peers.
package node
