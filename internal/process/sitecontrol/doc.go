// Package sitecontrol is the control process of a site: a replica of the
// control log, the announcements of servers, and the orders to them.
package sitecontrol
