// Package backend is what all stand-ins of backend servers share: they
// announce themselves to entries and answer with JSON.
//
// Stand-ins follow the pages under docs/interfaces and share no types with
// the system, so that a mistake in one side's reading of a page shows.
package backend
