// Package directory holds the announcements of backend servers: the newest incarnation
// of each server, whether it is leaving, and which server has an address.
package directory
