// Package renewal keeps an entry's settings lease alive: it tells the control
// log what the entry has applied, applies what is newer, and notes the proofs.
package renewal
