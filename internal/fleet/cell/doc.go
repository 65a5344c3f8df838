// Package cell decides which cell of a region serves a prompt.
//
// A cell is some twenty entries with some sixty backend servers. An entry
// knows the load of its own cell's servers and a digest of every other cell,
// so that what it keeps, sends and computes does not grow with the fleet. A
// prompt that returns has a home cell, where its cache is.
package cell
