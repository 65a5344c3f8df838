// Package status is the command line's view of a deployment.
package status
