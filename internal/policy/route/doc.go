// Package route decides which backend server runs a request and, for each cache
// piece of its prompt, whether the piece is used from engine memory, imported
// from a store or recomputed.
//
// A decision is a pure function of the request, the view of the cell, the time
// and a source of random numbers. docs/design/policy.md gives the reasons.
package route
