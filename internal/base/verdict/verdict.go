package verdict

import "fmt"

// Verdict states whether a request may have run at a backend server or in the control log.
type Verdict uint8

const (
	// MayHaveRun means that neither of the other two is proved.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request reached a process that could run it, or that it was refused before it ran.
	NotRun
	// Ran means that the request ran and its outcome is known.
	Ran
)

// Header is the HTTP response header that carries a Verdict to callers and operators.
const Header = "Hornbeamwood-Verdict"

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the name of v in headers, JSON and logs.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return names[MayHaveRun]
	}
	return names[v]
}

// MarshalText returns the name of v.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText sets v from its name and rejects any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, n := range names {
		if n == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("verdict: unknown verdict %q", text)
}
