// Package explain tells the story of one request from the logs of several
// processes.
package explain
