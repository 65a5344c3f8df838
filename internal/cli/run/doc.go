// Package run sets up logging and signal handling for long-running commands.
package run
