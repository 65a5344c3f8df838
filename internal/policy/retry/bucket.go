package retry

// bucket is a token bucket of retries.
type bucket struct {
	tokens float64
}

func (b *bucket) refill(share, limit float64) {
	b.tokens = min(b.tokens+share, limit)
}

func (b *bucket) empty() bool {
	return b.tokens < 1
}

func (b *bucket) take() {
	b.tokens--
}
