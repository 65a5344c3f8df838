package clients

import (
	"io"
	"testing"
)

// get returns an ordinary request without a body.
func get(address, path, want string) request {
	return request{address: address, text: target{"GET", path, ""}.head("1.1", "Connection: close") + headEnd, want: want}
}

func nothing(int) member {
	return func(io.Writer) error { return nil }
}

// Guards against a readiness address at which heads far over any limit are kept.
func TestReadinessLongHeads(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.ready, members: headCrowd, send: target{"GET", "/v1/ready", ""}.longHead(1<<20 - 1<<10)}, get(s.ready, "/v1/ready", ""))
}

// Guards against a readiness address that takes all descriptors of an entry.
func TestReadinessConnections(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.ready, members: 2 * connectionCrowd, again: true, send: mixed(nothing, target{"POST", "/v1/ready", ""}.announced("1.1", "", 100<<10, 100))}, get(s.ready, "/v1/ready", ""))
}

// Guards against a metrics address at which clients take the memory or the descriptors of an entry.
func TestEntryMetrics(t *testing.T) {
	s := startSite(t)
	metrics := target{"GET", "/metrics", ""}
	s.endure(crowd{address: s.metrics, members: 2 * connectionCrowd, send: mixed(metrics.longHead(1<<20-1<<10), nothing, metrics.announced("1.1", "", 100<<10, 100))}, get(s.metrics, "/metrics", "hornbeamwood_site_connections"))
}

// Guards against a metrics address at which clients take the memory or the descriptors of a control replica.
func TestControlMetrics(t *testing.T) {
	s := startSite(t)
	metrics := target{"GET", "/metrics", ""}
	s.endure(crowd{address: s.controlMetrics, members: 2 * connectionCrowd, send: mixed(metrics.longHead(1<<20-1<<10), nothing, metrics.announced("1.1", "", 100<<10, 100))}, get(s.controlMetrics, "/metrics", "hornbeamwood"), s.readDocument())
}

func (s *site) readDocument() request {
	return get(s.operators, "/v1/Config.Get", `"version":1`)
}

// Guards against a control replica that ends because bodies of operators and servers stop short of their end.
func TestControlStoppedBodies(t *testing.T) {
	s := startSite(t)
	put, heartbeat := target{"POST", "/v1/Config.Put", ""}, target{"POST", "/v1/Instances.Heartbeat/i-9", ""}
	s.endure(crowd{address: s.operators, members: bodyCrowd, send: mixed(put.announced("1.1", "", 5<<20, 1), put.chunked(5<<20, 65000), heartbeat.chunked(256<<10, 1))}, s.readDocument())
}

// Guards against a control replica that ends because of heads far over any limit.
func TestControlLongHeads(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.operators, members: headCrowd, send: target{"GET", "/v1/Config.Get", ""}.longHead(1<<20 - 1<<10)}, s.readDocument())
}

// Guards against a control replica whose descriptors are all taken, so that it can't open its files.
func TestControlConnections(t *testing.T) {
	s := startSite(t)
	s.endure(crowd{address: s.operators, members: 2 * connectionCrowd, again: true, send: mixed(nothing, target{"POST", "/v1/Instances.Heartbeat/i-9", ""}.announced("1.1", "", 1000, 1))}, s.readDocument())
}
