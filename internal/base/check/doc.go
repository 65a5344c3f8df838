// Package check has the rules for names, IDs and addresses that come from outside the system. They end up in headers,
// log lines, keys of rows and the control log, and one that can't be read there must not get in.
package check
