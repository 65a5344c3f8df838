package main

import (
	"context"
	"fmt"
	"time"
)

// heartbeat is what a server says of itself.
type heartbeat struct {
	id, service, address, zone, software, state string
	sequence                                    int
	startedAt                                   int64
	coldRemaining                               time.Duration
	models                                      string
}

// send sends the heartbeat to a control replica and returns the status of the response.
func (h heartbeat) send(ctx context.Context, control string) int {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":8,"state":%q,"sequence":%d,"born":%d,"cold_remaining_ms":%d,"models":%s}`,
		h.service, h.address, h.zone, h.software, h.state, h.sequence, h.startedAt, h.coldRemaining.Milliseconds(), h.models)
	return post(ctx, "http://"+control+":8000/v1/Instances.Heartbeat/"+h.id, body, time.Second)
}
