// Package status reports the state of the deployment to operators, as seen by
// one entry.
package status
