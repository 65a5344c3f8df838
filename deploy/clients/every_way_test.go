package clients

import (
	"io"
	"testing"
)

// everyWayCrowd is the number of clients that send in every way, some two dozen in each.
const everyWayCrowd = 260

// everyWay sends bodies and heads in every way, each stopped short of its end or without end, to a listener that takes bodies of
// so many bytes.
func (a target) everyWay(body int) func(int) member {
	return mixed(
		a.announced("1.1", "", body, 1),
		a.chunked(body, 65000),
		a.chunked(min(body, 300<<10), 1),
		a.announced("1.0", "", body, 1),
		a.announced("1.1", "Expect: 100-continue\r\n", body, body/2),
		a.announced("1.1", "", 10*body, 0),
		a.chunked(10*body, 65000),
		a.longHead(1<<20-1<<10),
		a.tinyFields(maxHeader-1<<10),
		repeated(a.head("1.1", ""), "X-Field: value\r\n", endless),
		repeated("GET /", "x", endless),
		repeated("", "\r\n", endless),
	)
}

// endless is more than a client sends before its connection is closed.
const endless = 1 << 30

// closing closes each connection once all is sent.
func closing(send func(int) member) func(int) member {
	return func(i int) member {
		return func(w io.Writer) error {
			if err := send(i)(w); err != nil {
				return err
			}
			if c, ok := w.(io.Closer); ok {
				_ = c.Close()
			}
			return io.ErrClosedPipe
		}
	}
}

// staying and returning are crowds that send in every way: they stay connected, or close and come again at once.
func staying(address string, a target, body int) crowd {
	return crowd{address: address, members: everyWayCrowd, send: a.everyWay(body)}
}

func returning(address string, a target, body int) crowd {
	return crowd{address: address, members: everyWayCrowd, again: true, send: closing(a.everyWay(body))}
}

// Where the crowds of a site's listeners send.
var (
	readiness   = target{"POST", "/v1/ready", ""}
	metricsPage = target{"POST", "/metrics", ""}
	putDocument = target{"POST", "/v1/Config.Put", ""}
	heartbeat   = target{"POST", "/v1/Instances.Heartbeat/i-9", ""}
)

// Guards the callers' address of an entry against clients that keep to no limit.
func TestCallersEveryWay(t *testing.T) {
	s := startSite(t)
	s.endure(staying(s.callers, caller, maxBody))
}

// Guards the callers' address of an entry against clients that come again at once.
func TestCallersEveryWayAgain(t *testing.T) {
	s := startSite(t)
	s.endure(returning(s.callers, caller, maxBody))
}

// Guards the readiness address of an entry against clients that keep to no limit.
func TestReadinessEveryWay(t *testing.T) {
	s := startSite(t)
	s.endure(staying(s.ready, readiness, maxBody), get(s.ready, "/v1/ready", ""))
}

// Guards the readiness address of an entry against clients that come again at once.
func TestReadinessEveryWayAgain(t *testing.T) {
	s := startSite(t)
	s.endure(returning(s.ready, readiness, maxBody), get(s.ready, "/v1/ready", ""))
}

// Guards the metrics address of an entry against clients that keep to no limit.
func TestEntryMetricsEveryWay(t *testing.T) {
	s := startSite(t)
	s.endure(staying(s.metrics, metricsPage, maxBody), get(s.metrics, "/metrics", "hornbeamwood"))
}

// Guards the metrics address of an entry against clients that come again at once.
func TestEntryMetricsEveryWayAgain(t *testing.T) {
	s := startSite(t)
	s.endure(returning(s.metrics, metricsPage, maxBody), get(s.metrics, "/metrics", "hornbeamwood"))
}

// Guards the metrics address of a control replica against clients that keep to no limit.
func TestControlMetricsEveryWay(t *testing.T) {
	s := startSite(t)
	s.endure(staying(s.controlMetrics, metricsPage, maxBody), get(s.controlMetrics, "/metrics", "hornbeamwood"), s.readDocument())
}

// Guards the metrics address of a control replica against clients that come again at once.
func TestControlMetricsEveryWayAgain(t *testing.T) {
	s := startSite(t)
	s.endure(returning(s.controlMetrics, metricsPage, maxBody), get(s.controlMetrics, "/metrics", "hornbeamwood"), s.readDocument())
}

// Guards the operators' address of a control replica against clients that keep to no limit.
func TestOperatorsEveryWay(t *testing.T) {
	s := startSite(t)
	s.endure(staying(s.operators, putDocument, maxBody), s.readDocument())
}

// Guards the operators' address of a control replica against clients that come again at once.
func TestOperatorsEveryWayAgain(t *testing.T) {
	s := startSite(t)
	s.endure(returning(s.operators, putDocument, maxBody), s.readDocument())
}

// Guards announcements of servers at a control replica against clients that keep to no limit.
func TestHeartbeatsEveryWay(t *testing.T) {
	s := startSite(t)
	s.endure(staying(s.operators, heartbeat, 200<<10), s.readDocument())
}

// Guards announcements of servers at a control replica against clients that come again at once.
func TestHeartbeatsEveryWayAgain(t *testing.T) {
	s := startSite(t)
	s.endure(returning(s.operators, heartbeat, 200<<10), s.readDocument())
}

// Guards the own interface against callers that keep to no limit.
func TestOwnCallersEveryWay(t *testing.T) {
	d := startDeployment(t)
	d.endure(staying(d.http, ownCaller, ownMaxBody))
}

// Guards the own interface against callers that come again at once.
func TestOwnCallersEveryWayAgain(t *testing.T) {
	d := startDeployment(t)
	d.endure(returning(d.http, ownCaller, ownMaxBody))
}

// Guards the own interface against operators' clients that keep to no limit.
func TestOwnOperatorsEveryWay(t *testing.T) {
	d := startDeployment(t)
	d.endure(staying(d.http, ownOperator, ownMaxBody))
}

// Guards the own interface against operators' clients that come again at once.
func TestOwnOperatorsEveryWayAgain(t *testing.T) {
	d := startDeployment(t)
	d.endure(returning(d.http, ownOperator, ownMaxBody))
}

// Guards the own interface against servers that keep to no limit.
func TestOwnServersEveryWay(t *testing.T) {
	d := startDeployment(t)
	d.endure(staying(d.http, ownEvents, 500<<10))
}

// Guards the own interface against servers that come again at once.
func TestOwnServersEveryWayAgain(t *testing.T) {
	d := startDeployment(t)
	d.endure(returning(d.http, ownEvents, 500<<10))
}

// Guards the metrics address of a replica of the own interface against clients that keep to no limit.
func TestOwnMetricsEveryWay(t *testing.T) {
	d := startDeployment(t)
	d.endure(staying(d.metrics, metricsPage, ownMaxBody), get(d.metrics, "/metrics", "hornbeamwood"))
}

// Guards the metrics address of a replica of the own interface against clients that come again at once.
func TestOwnMetricsEveryWayAgain(t *testing.T) {
	d := startDeployment(t)
	d.endure(returning(d.metrics, metricsPage, ownMaxBody), get(d.metrics, "/metrics", "hornbeamwood"))
}
