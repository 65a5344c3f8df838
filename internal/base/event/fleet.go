package event

import "github.com/apex/log"

// Events of the fleet and of orders, 600 to 699.
var (
	// ServerChanged is written when a backend server is new, has restarted or has changed.
	ServerChanged = define(600, log.InfoLevel, "server-changed", "A backend server is new, has restarted, or changed its address, holdings, services or role; the field cause says which.")
	// ServerLeaving is written when a backend server announces that it is leaving.
	ServerLeaving = define(601, log.InfoLevel, "server-leaving", "A backend server announced that it is leaving; it gets no new work from now on.")
	// AnnouncementRefused is written when an announcement or cache event is refused.
	AnnouncementRefused = define(602, log.WarnLevel, "announcement-refused", "An announcement or cache event was refused; the fields code and message say why.")
	// ServerForgotten is written when a silent backend server is removed.
	ServerForgotten = define(603, log.InfoLevel, "server-forgotten", "A backend server was silent for a long time and was removed from the table of backend servers.")
	// ServerBackoff is written when a server requests a backoff of a process, and when it accepts requests again.
	ServerBackoff = define(604, log.InfoLevel, "server-backoff", "A backend server or store told this process by Retry-After to send it nothing for backoff-ms, or accepts its requests again (zero). A control process names it by its address.")
	// OrderGiven is written for each order that is sent to an engine.
	OrderGiven = define(610, log.InfoLevel, "order-given", "An order was sent to an engine; the fields name it, its fencing number and the reason.")
	// OrderEnded is written when an order has completed or failed.
	OrderEnded = define(611, log.InfoLevel, "order-ended", "An order has completed or failed, according to the engine.")
	// OrderUnknown is written when the outcome of an order is unknown.
	OrderUnknown = define(612, log.WarnLevel, "order-unknown", "The answer to an order was lost; the outcome is read back before the engine gets another order.")
	// OrderFenced is written when an engine has seen a higher fencing number.
	OrderFenced = define(613, log.WarnLevel, "order-fenced", "An engine has seen a higher fencing number; another process holds the lease and this one stops sending orders.")
	// OrderLease is written when this process acquires or loses the lease for orders.
	OrderLease = define(614, log.InfoLevel, "order-lease", "This process acquired or lost the lease for sending orders.")
)
