// Package quic spreads the cache directory over the entries of a cell: each
// holds a share of the keys and asks the others for theirs.
package quic
