// Package cell decides which cell of a region serves a prompt.
//
// A cell consists of about twenty entries with about sixty backend servers. An
// entry knows the load of the servers of its own cell and a digest of every
// other cell, so that its state, traffic and computation do not grow with the
// size of the fleet. A prompt that is sent again has a home cell, which holds
// its cache.
package cell
