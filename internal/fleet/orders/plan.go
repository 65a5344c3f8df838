package orders

// Plan is what the controller wants done now.
type Plan struct {
	// Note is what the lease's note must hold; orders are sent once it is committed.
	Note []Outstanding
	// NoteVersion is a larger number with each change of Note.
	NoteVersion uint64
	// Send are the orders to send; the adapter asks MaySend right before it writes each.
	Send []Instruction
	// Read are the orders to ask about.
	Read []Instruction
}

// Instruction is one order with the engine that it concerns.
type Instruction struct {
	// Engine and Address say to whom.
	Engine  string
	Address string
	// Order is the order.
	Order Order
	// Reason says why.
	Reason Reason
}

// Reason says why an order is given or asked about.
type Reason string

const (
	// OtherVersion means that the engine holds another weight version than the settings say.
	OtherVersion Reason = "other-version"
	// NothingHeld means that the engine holds nothing and its role names a model.
	NothingHeld Reason = "nothing-held"
	// AnswerLost means that the answer to the order was lost.
	AnswerLost Reason = "answer-lost"
	// Inherited means that an earlier holder of the lease gave the order.
	Inherited Reason = "inherited"
	// InProgress means that the engine works on the order.
	InProgress Reason = "in-progress"
)
