package membership

// Merge is the typed verdict on one announcement.
type Merge struct {
	// Outcome says what the merge did.
	Outcome Outcome
	// Cause says why.
	Cause Cause
	// Detail is a sentence for refused merges that names the field or the other server.
	Detail string
	// Leaving says that this merge turned the server from ready to leaving.
	Leaving bool
	// Changed says that the server is new or its holdings, services, role or address changed.
	Changed bool
}

func refuse(c Cause, detail string) Merge {
	return Merge{Outcome: Refused, Cause: c, Detail: detail}
}
