// Package retry decides whether a failed attempt is followed by another.
//
// Budgets are shares of the first tries, for each workspace and for all of
// them: when most attempts fail, retries add at most that share to the load,
// so that they can't turn an overload into a larger one.
package retry
