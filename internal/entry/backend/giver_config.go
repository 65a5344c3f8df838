package backend

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/fleet/orders"
	"hornbeamwood/internal/settings/rules"
)

// Defaults of GiverConfig.
const (
	DefaultStep       = 250 * time.Millisecond
	DefaultOrderLease = 10 * time.Second
)

const (
	// orderTimeout is less than the time that the controller takes an order to be on its way.
	orderTimeout = 4 * time.Second
	// askShare is how often, in one lease, a process that does not hold it asks whether it is free.
	askShare = 2
	// orderLease is the lease's name in the control log.
	orderLease = "orders"
)

// ControlLog commits commands to the control log and reads from it.
type ControlLog interface {
	Propose(ctx context.Context, section string, body []byte) ([]byte, error)
	Read(ctx context.Context, section string, body []byte) ([]byte, error)
}

// EngineOrders sends orders to engines.
type EngineOrders interface {
	Order(ctx context.Context, address string, o orders.Order) (orders.Answer, error)
	ReadOrder(ctx context.Context, address, id string) (orders.Answer, error)
}

// Servers shows the backend servers.
type Servers interface {
	View() membership.View
}

// GiverConfig holds what a Giver needs.
type GiverConfig struct {
	// Holder names this process and its start.
	Holder string
	// Controller decides; the Giver is the only one that uses it.
	Controller orders.Controller
	// Log holds the lease.
	Log ControlLog
	// Engines get the orders.
	Engines EngineOrders
	// Servers shows which engines there are.
	Servers Servers
	// Settings returns the effective settings, nil while there are none.
	Settings func() *rules.Snapshot
	// Step is the time between two plans; zero means DefaultStep.
	Step time.Duration
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// Logger takes the events; nil writes none.
	Logger log.Interface
}
