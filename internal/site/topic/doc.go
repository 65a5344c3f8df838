// Package topic defines the topics of rows in the row tables of control replicas
// and the types of their values.
package topic
