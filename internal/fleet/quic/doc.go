// Package quic carries gossip between the entries of a cell.
package quic
