// Package overload detects that a process gets less processor time than its work needs.
package overload
