// Package explain reconstructs from the logs of several processes what happened
// to one request, and counts the causes of late answers and of prefill.
package explain
