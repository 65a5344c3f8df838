// Package demo runs a whole deployment in one process: three control replicas,
// two entries and stand-ins for backend servers, with the example settings of
// both deployments.
package demo
