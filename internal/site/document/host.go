package document

import "strings"

// foldHost returns the host under which a route is found. The names of hosts have no case.
func foldHost(host string) string {
	return strings.ToLower(host)
}
