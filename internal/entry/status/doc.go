// Package status shows operators where the deployment stands, as one entry
// sees it.
package status
