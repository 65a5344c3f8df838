// Package run starts the long-running verbs: it sets up logs and signals.
package run
