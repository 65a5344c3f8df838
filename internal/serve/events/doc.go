// Package events splits a stream of server-sent events into whole events.
package events
