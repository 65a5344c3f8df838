package inbound

import (
	"strings"
	"testing"
	"time"
)

// Guards against defaults under which clients may make a process hold more than its machine has.
func TestDefaultsFitTheMachine(t *testing.T) {
	const memory, descriptors = 112 << 20, 3900
	b := Bounds{}.WithMachine(memory, descriptors, 0.5).WithDefaults()
	if b.Bytes != memory/4 || b.Connections != 896 {
		t.Errorf("%d bytes, %d connections", b.Bytes, b.Connections)
	}
	connections := int64(b.Connections+2*b.PlatformConnections) * connectionBytes
	unread := int64(b.Connections+2*b.PlatformConnections) * int64(b.ReceiveBytes)
	if sum := connections + unread + b.Bytes; sum > memory*7/8 {
		t.Errorf("clients may make the process hold %d bytes", sum)
	}
	if few := (Bounds{}).WithMachine(memory, 500, 0.5); few.Connections != 250 {
		t.Errorf("%d connections with few descriptors", few.Connections)
	}
	if set := (Bounds{Bytes: 1, Connections: 2}).WithMachine(memory, descriptors, 0.5); set.Bytes != 1 || set.Connections != 2 {
		t.Errorf("settings are replaced by %+v", set)
	}
	if unknown := (Bounds{}).WithMachine(0, 0, 0.5); unknown != (Bounds{}) {
		t.Errorf("without a known machine %+v", unknown)
	}
}

// Guards against bounds that overflow or refuse everything.
func TestBoundsOutOfRangeAreNamed(t *testing.T) {
	name := func(field string) string { return "clients." + field }
	for field, b := range map[string]Bounds{
		"memory": {Bytes: -1}, "connections": {Connections: maxConnections + 1}, "platform-connections": {PlatformConnections: -1},
		"header-bytes": {HeaderBytes: -1}, "idle-timeout": {IdleTimeout: -1}, "body-timeout": {BodyTimeout: 25 * time.Hour},
		"receive-bytes": {ReceiveBytes: maxSocketBytes + 1}, "stall-time": {StallTime: -1},
	} {
		if err := b.Check(name); err == nil || !strings.HasPrefix(err.Error(), "clients."+field+" ") {
			t.Errorf("%s: %v", field, err)
		}
	}
	if err := (Bounds{}).WithDefaults().Check(name); err != nil {
		t.Error(err)
	}
}
