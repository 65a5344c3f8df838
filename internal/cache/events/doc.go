// Package events defines the cache reports of engines: batches of numbered
// events, and listings that close a gap.
//
// The wire form is JSON over HTTP POST /fleet/cache-events at any entry;
// docs/interfaces/cache.md lists it field by field.
package events
