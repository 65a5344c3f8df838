// Package service is a stand-in of a plain service: reads that may be
// repeated and calls that may not, each execution counted.
package service
