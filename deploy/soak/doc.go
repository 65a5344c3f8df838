// Command soak runs the programs of a site as separate processes on loopback
// addresses, injects faults from outside, and continuously checks what callers,
// servers and operators observe.
//
// A seed determines a run: which processes are killed, stopped, suspended or wiped and
// when, which connections are delayed, reset or blocked, which servers crash,
// leave, fall silent or are brittle, which entries are cut off from all servers, and
// which documents are sent to which replica. At the end of a run, servers and callers are
// processes of their own without a proxy, and processes of all kinds are killed in overlapping
// series. The soak ends only processes that it has started, by their IDs.
package main
