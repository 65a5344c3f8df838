// Package responsetest provides broken responses, and servers that send them, for tests of what reads responses.
package responsetest
