// Package siteentry is the entry process of a site: it follows the control
// replicas and answers callers.
package siteentry
