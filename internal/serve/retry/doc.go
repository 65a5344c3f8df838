// Package retry decides how many retries an entry may send to backend servers so that the
// whole fleet stays within its retry budget.
package retry
