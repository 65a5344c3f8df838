// Package completion runs completions at model engines: it builds the view of
// the cell for a routing decision, admits or refuses, dispatches, tries again
// elsewhere while nothing has been sent, and has what will come back exported.
package completion
