// Package topic names the rows that control replicas show on their boards and
// the types of their values.
package topic
