// Package inbound serves HTTP to clients that may keep to no limit. It bounds the connections of each listener, the
// memory that the clients of all listeners together make a process hold, and the time that each of them may take.
//
// Memory that clients make the process hold is reserved in an Account before it is allocated: long heads, bodies, and
// answers until they are taken. When the account is full, clients that hold memory and make no
// progress are evicted.
package inbound
