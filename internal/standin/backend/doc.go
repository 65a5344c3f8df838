// Package backend holds what all stand-ins for backend servers share:
// announcements to entries and JSON responses.
//
// Stand-ins implement the pages under docs/interfaces and share no types with the
// system, so that a different interpretation of a page becomes visible.
package backend
