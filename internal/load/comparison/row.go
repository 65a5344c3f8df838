package comparison

import "hornbeamwood/internal/load/model"

// Row is a Case with its result, the mean over the seeds.
type Row struct {
	// Case is the measured case.
	Case Case
	// Result is the mean of its runs.
	Result model.Result
}

// Class returns the result of the named class and whether there is one.
func (r *Row) Class(name string) (model.ClassResult, bool) {
	for _, c := range r.Result.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return model.ClassResult{}, false
}
