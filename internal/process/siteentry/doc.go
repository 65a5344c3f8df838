// Package siteentry is the entry process of a site. It polls the control replicas and serves callers.
package siteentry
