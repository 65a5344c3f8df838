package store

import (
	"context"
	"io"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// linkBurst is the burst size in bytes, large enough for one write call.
const linkBurst = 64 << 10

// link is the rate limit that all reads and writes of the store share.
type link struct {
	limiter *rate.Limiter
	queued  atomic.Int64
}

func newLink(bytesPerSecond float64) *link {
	return &link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst)}
}

// copy copies n bytes from r to w at the link's rate.
func (l *link) copy(ctx context.Context, w io.Writer, r io.Reader, n int64) error {
	l.queued.Add(n)
	left := n
	defer func() { l.queued.Add(-left) }()
	for left > 0 {
		size := min(left, linkBurst)
		if err := l.limiter.WaitN(ctx, int(size)); err != nil {
			return err
		}
		if _, err := io.CopyN(w, r, size); err != nil {
			return err
		}
		l.queued.Add(-size)
		left -= size
	}
	return nil
}
