// Package stores keeps account of what lies in the stores beside the engines
// and decides what is freed.
package stores
