// Package sitecontrol runs the control process of a site. It holds a replica of
// the control log, tracks the announcements of servers and gives them orders.
package sitecontrol
