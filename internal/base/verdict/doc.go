// Package verdict says of each failed request whether it may have run.
//
// The zero Verdict is MayHaveRun: code that forgets to prove anything promises
// nothing.
package verdict
