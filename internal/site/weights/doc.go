// Package weights brings engines to the named versions of their models' weights.
package weights
