// Package admission keeps the members of the control log equal to the running
// replicas without an operator. Replicas ask the leader to add them as learners,
// and the leader promotes, replaces and removes members.
package admission
