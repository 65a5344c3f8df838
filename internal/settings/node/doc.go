// Package node reads the TOML file of one process of ours: who it is, where it
// listens, and who its control replicas and peers are.
package node
