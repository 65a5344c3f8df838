package engine

// maxChoices bounds the choices of one completion.
const maxChoices = 128

// finish tracks which choices have started and which have their finish marker.
type finish struct {
	opened   [maxChoices]bool
	finished [maxChoices]bool
}

// observe records an event's choices and reports whether all indexes are within bounds.
func (f *finish) observe(choices []choice) bool {
	for _, c := range choices {
		if c.index < 0 || c.index >= maxChoices {
			return false
		}
		f.opened[c.index] = true
		if c.finished {
			f.finished[c.index] = true
		}
	}
	return true
}

// whole reports whether at least one choice has started and all that have are finished.
func (f *finish) whole() bool {
	return f.opened != [maxChoices]bool{} && f.opened == f.finished
}
