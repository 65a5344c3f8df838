// Command soak runs the real programs of a site as separate processes on
// loopback addresses, injects faults from outside, and checks all the while what
// callers, servers and operators see.
//
// A run is drawn from a seed: which process is killed, stopped, paused or wiped
// and when, which connections are delayed, reset or silenced, which servers crash
// or leave, which documents are sent to whom. It ends only processes that it has
// started, by their ids.
package main
