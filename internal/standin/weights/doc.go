// Package weights is a stand-in for the rate-limited weight store.
package weights
