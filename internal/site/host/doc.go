// Package host describes the VM that a process of a site runs on and the
// bounds that the site's operator has configured.
package host
