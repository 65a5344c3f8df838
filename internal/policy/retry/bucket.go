package retry

// bucket holds the repeats that are left.
type bucket struct {
	left float64
}

func (b *bucket) fill(share, limit float64) {
	b.left = min(b.left+share, limit)
}

func (b *bucket) empty() bool {
	return b.left < 1
}

func (b *bucket) take() {
	b.left--
}
