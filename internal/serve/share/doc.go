// Package share aggregates the load that each entry has sent to each engine, so that every
// entry can take the load of the others into account.
package share
