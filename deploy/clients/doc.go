// Package clients has the tests of crowds of clients that keep to no limit: the real processes on loopback addresses,
// one crowd at a time. They run alone:
//
//	go test -count=1 -timeout 20m ./deploy/clients -alone
package clients
