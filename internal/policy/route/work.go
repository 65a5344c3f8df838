package route

// Work is an amount of prefill work by priority band.
type Work struct {
	// Requests is the number of requests in each band.
	Requests [Bands]int32
	// Tokens is the number of prompt tokens to compute in each band.
	Tokens [Bands]int64
}

// With returns w with n requests and their tokens added to a band; both may be negative.
func (w Work) With(band int, n int32, tokens int64) Work {
	w.Requests[band] += n
	w.Tokens[band] += tokens
	return w
}

// Plus returns the sum of w and o.
func (w Work) Plus(o Work) Work {
	for b := range Bands {
		w.Requests[b] += o.Requests[b]
		w.Tokens[b] += o.Tokens[b]
	}
	return w
}

// Total returns the tokens of all bands.
func (w *Work) Total() int64 {
	var sum int64
	for _, n := range w.Tokens {
		sum += n
	}
	return sum
}

// From returns the tokens of band and of all higher bands.
func (w *Work) From(band int) int64 {
	var sum int64
	for _, n := range w.Tokens[band:] {
		sum += n
	}
	return sum
}

// Below returns the number of requests in bands lower than band.
func (w *Work) Below(band int) int32 {
	var sum int32
	for _, n := range w.Requests[:band] {
		sum += n
	}
	return sum
}

// Count returns the number of requests in all bands.
func (w *Work) Count() int32 {
	var sum int32
	for _, n := range w.Requests {
		sum += n
	}
	return sum
}
