// Package weights rolls out the target versions of models' weights to engines.
package weights
