package event

import "github.com/apex/log"

// Events of the fleet and of orders, 600 to 699.
var (
	// ServerChanged is written when a backend server is new, has restarted or changed what it holds.
	ServerChanged = define(600, log.InfoLevel, "server-changed", "A backend server is new, has restarted, or changed its address, holdings, services or role; the field cause says which.")
	// ServerLeaving is written when a backend server says that it leaves.
	ServerLeaving = define(601, log.InfoLevel, "server-leaving", "A backend server said that it leaves; it gets no new work from here on.")
	// AnnouncementRefused is written when an announcement or cache event is refused.
	AnnouncementRefused = define(602, log.WarnLevel, "announcement-refused", "An announcement or cache event was refused; the fields code and message say why.")
	// ServerForgotten is written when a silent backend server is forgotten.
	ServerForgotten = define(603, log.InfoLevel, "server-forgotten", "A backend server was silent for long and is forgotten.")
	// OrderGiven is written for each order that is sent to an engine.
	OrderGiven = define(610, log.InfoLevel, "order-given", "An order was sent to an engine; the fields name it, its fencing number and the reason.")
	// OrderEnded is written when an order is done or has failed.
	OrderEnded = define(611, log.InfoLevel, "order-ended", "An order is done or has failed, as the engine says.")
	// OrderUnknown is written when nobody can say what became of an order.
	OrderUnknown = define(612, log.WarnLevel, "order-unknown", "The answer to an order was lost; it is read back before the engine gets another.")
	// OrderFenced is written when an engine has seen a higher fencing number.
	OrderFenced = define(613, log.WarnLevel, "order-fenced", "An engine has seen a higher fencing number; another process holds the lease and this one stops giving orders.")
	// OrderLease is written when this process gets or loses the lease for orders.
	OrderLease = define(614, log.InfoLevel, "order-lease", "This process got or lost the lease under which orders are given.")
)
