// Package admission keeps the members of the control log equal to the replicas
// that run, without an operator: replicas ask the leader to be taken in, and
// the leader promotes, replaces and drops them.
package admission
