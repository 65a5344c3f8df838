// Package status implements the status command, which shows the state of a deployment.
package status
