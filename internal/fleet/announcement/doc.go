// Package announcement defines the status that backend servers report.
//
// The wire form is JSON over HTTP POST /fleet/announcements at any entry;
// docs/INTERFACES.md lists it field by field.
package announcement
