package backend

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/fleet/membership"
	"hornbeamwood/internal/fleet/orders"
	"hornbeamwood/internal/settings/rules"
)

// Default values of the configuration.
const (
	DefaultStep       = 250 * time.Millisecond
	DefaultOrderLease = 10 * time.Second
)

const (
	// orderTimeout is less than the time for which the controller considers an order to be in flight.
	orderTimeout = 4 * time.Second
	// acquireTriesPerLease is how often per lease duration a process that does not hold the lease checks whether it is free.
	acquireTriesPerLease = 2
	// orderLeaseName is the name of the lease in the control log.
	orderLeaseName = "orders"
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

// Servers provides the current view of the backend servers.
type Servers interface {
	View() membership.View
}

// OrderIssuerConfig configures NewOrderIssuer.
type OrderIssuerConfig struct {
	// Holder identifies this process and its incarnation as a lease holder.
	Holder string
	// Controller plans the orders. Nothing else may use it.
	Controller orders.Controller
	// Log holds the lease.
	Log ControlLog
	// Engines sends the orders.
	Engines EngineOrders
	// Servers provides the engines.
	Servers Servers
	// Settings returns the effective settings, or nil while there are none.
	Settings func() *rules.Snapshot
	// Step is the interval between plans; zero means DefaultStep.
	Step time.Duration
	// Now returns the local time with its monotonic reading.
	Now func() time.Time
	// Logger receives events; nil disables logging.
	Logger log.Interface
}
