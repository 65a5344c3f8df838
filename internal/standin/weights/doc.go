// Package weights is a stand-in of the rate-limited weight store.
package weights
