// Package retry decides how many repeats an entry may send to backend servers
// so that the whole fleet stays within its budget.
package retry
