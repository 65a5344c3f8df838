// Package retry decides whether a failed attempt is followed by another.
//
// Budgets are fractions of the first attempts, for each workspace and for all
// of them together. When most attempts fail, retries add at most that fraction
// to the load, so that they cannot amplify an overload.
package retry
