package inbound

import (
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
)

// Reasons for which a client is ended.
const (
	endedForMemory      = "memory"
	endedForConnections = "connections"
	endedForHeader      = "header-timeout"
	endedForLargeHeader = "header-bytes"
	endedForBody        = "body-timeout"
	endedForAnswer      = "answer-timeout"
)

// endingsLogInterval is the interval of log lines on clients that were ended.
const endingsLogInterval = time.Second

// endings counts the clients that were ended during a request, by reason. The account's lock guards it.
type endings struct {
	config AccountConfig
	// unlogged counts those since the last log line.
	unlogged map[string]int
	loggedAt time.Time
}

func newEndings(c AccountConfig) endings {
	return endings{config: c, unlogged: map[string]int{}}
}

// count counts a client that was ended while so many bytes were reserved.
func (e *endings) count(reason string, reserved int64) {
	if e.config.Metrics != nil {
		e.config.Metrics.GetOrCreateCounter(`hornbeamwood_clients_ended_total{reason="` + reason + `"}`).Inc()
	}
	e.unlogged[reason]++
	now := time.Now()
	if now.Sub(e.loggedAt) < endingsLogInterval {
		return
	}
	fields := log.Fields{"reserved-bytes": reserved, "most-bytes": e.config.Bounds.Bytes}
	for reason, n := range e.unlogged {
		fields[reason] = n
	}
	event.ClientsEnded.Write(e.config.Logger, fields)
	e.loggedAt = now
	clear(e.unlogged)
}
