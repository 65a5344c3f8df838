// Package quic distributes the cache directory over the entries of a cell: each
// entry holds a share of the keys and queries the others for the rest.
package quic
