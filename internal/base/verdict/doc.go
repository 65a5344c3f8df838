// Package verdict states for each failed request whether it may have run.
//
// The zero Verdict is MayHaveRun, so that code that sets no verdict guarantees
// nothing.
package verdict
