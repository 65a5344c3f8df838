// Package share adds up what all entries have sent to each engine, so that each
// entry chooses with the work of the others in view.
package share
