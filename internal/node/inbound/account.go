package inbound

import (
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
)

// AccountConfig configures an Account.
type AccountConfig struct {
	// Bounds bound what clients may make the process hold; zero Bytes stand for any amount.
	Bounds Bounds
	// Metrics receives the counters.
	Metrics *metrics.Set
	// Logger receives the events.
	Logger log.Interface
}

// Account counts the memory that the clients at all listeners of a process make it hold.
type Account interface {
	// Reserved returns the bytes that are reserved.
	Reserved() int64

	bounds() Bounds
	add(c *conn)
	remove(c *conn)
	reserve(c *conn, n int64, until time.Time) error
	tryReserve(c *conn, n int64) bool
	charge(c *conn, n int64)
	release(c *conn, n int64)
	releaseAll(c *conn)
	interrupt(s *server)
	ended(reason string)
}

// account is safe for concurrent use. Its lock may be held when that of a connection is taken, not the other way round.
type account struct {
	config AccountConfig

	mu       sync.Mutex
	reserved int64
	conns    map[*conn]struct{}
	// queue holds the reservations that wait, in the order in which they are granted.
	queue []*waiter
	// searchedAt is when clients to evict were last searched.
	searchedAt time.Time
	endings    endings
}

// waiter is a reservation that waits for memory.
type waiter struct {
	conn  *conn
	bytes int64
	done  chan error
}

// NewAccount returns an Account in which nothing is reserved.
func NewAccount(c AccountConfig) Account {
	c.Bounds = c.Bounds.WithDefaults()
	a := &account{config: c, conns: map[*conn]struct{}{}, endings: newEndings(c)}
	if c.Metrics != nil {
		c.Metrics.NewGauge("hornbeamwood_clients_reserved_bytes", func() float64 { return float64(a.Reserved()) })
	}
	return a
}

// Reserved implements Account.
func (a *account) Reserved() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reserved
}

func (a *account) bounds() Bounds {
	return a.config.Bounds
}

func (a *account) add(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = struct{}{}
}

func (a *account) remove(c *conn) {
	a.releaseAll(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, c)
}

// fits returns whether n more bytes can be reserved.
func (a *account) fits(n int64) bool {
	most := a.config.Bounds.Bytes
	return most == 0 || a.reserved+n <= most
}

func (a *account) take(c *conn, n int64) {
	a.reserved += n
	c.held += n
}

// reserve reserves n bytes for a client, after others were evicted if it must. It returns ErrTooLarge if the client alone
// would hold more than all may, so that it is of no use to try again.
func (a *account) reserve(c *conn, n int64, until time.Time) error {
	a.mu.Lock()
	if most := a.config.Bounds.Bytes; most > 0 && c.held+n > most {
		a.mu.Unlock()
		return ErrTooLarge
	}
	if len(a.queue) == 0 && a.fits(n) {
		a.take(c, n)
		a.mu.Unlock()
		return nil
	}
	if a.queueIsFull(n) {
		a.endings.count(endedForMemory, a.reserved)
		a.mu.Unlock()
		return ErrNoMemory
	}
	w := &waiter{conn: c, bytes: n, done: make(chan error, 1)}
	a.queue = append(a.queue, w)
	c.setWaiting(true)
	a.mu.Unlock()
	defer c.setWaiting(false)
	return a.await(w, until)
}

// queueIsFull returns whether the reservations that wait would have as many bytes as all clients may hold. Whoever waits behind
// them waits long, and holds a connection meanwhile.
func (a *account) queueIsFull(n int64) bool {
	for _, w := range a.queue {
		n += w.bytes
	}
	return len(a.queue) > 0 && n > a.config.Bounds.Bytes
}

// await returns once the reservation is granted or refused, or its time is over.
func (a *account) await(w *waiter, until time.Time) error {
	end := time.NewTimer(time.Until(until))
	defer end.Stop()
	search := time.NewTicker(searchInterval)
	defer search.Stop()
	a.evictForQueue()
	for {
		select {
		case err := <-w.done:
			return err
		case <-search.C:
			a.evictForQueue()
		case <-end.C:
			a.mu.Lock()
			withdrawn := a.withdraw(w)
			a.mu.Unlock()
			if withdrawn {
				return ErrNoMemory
			}
			return <-w.done
		}
	}
}

// withdraw removes a reservation from the queue and returns whether it was there.
func (a *account) withdraw(w *waiter) bool {
	i := slices.Index(a.queue, w)
	if i < 0 {
		return false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	a.grant()
	return true
}

// tryReserve reserves n bytes if they are free, and otherwise evicts clients for later reservations.
func (a *account) tryReserve(c *conn, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) == 0 && a.fits(n) {
		a.take(c, n)
		return true
	}
	a.evict(n)
	return false
}

// charge reserves n bytes that are held already, and evicts clients if all hold more than they may.
func (a *account) charge(c *conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.take(c, n)
	if !a.fits(0) {
		a.evict(0)
	}
}

func (a *account) release(c *conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n = min(n, c.held)
	c.held -= n
	a.reserved -= n
	a.grant()
}

func (a *account) releaseAll(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.held == 0 {
		return
	}
	a.reserved -= c.held
	c.held = 0
	a.grant()
}

// grant grants the reservations at the head of the queue that fit.
func (a *account) grant() {
	for len(a.queue) > 0 && a.fits(a.queue[0].bytes) {
		w := a.queue[0]
		a.queue = a.queue[1:]
		a.take(w.conn, w.bytes)
		w.done <- nil
	}
}

// interrupt refuses the waiting reservations of the clients of a server.
func (a *account) interrupt(s *server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range slices.Clone(a.queue) {
		if w.conn.server == s && a.withdraw(w) {
			w.done <- ErrInterrupted
		}
	}
}

// ended counts a client that was ended.
func (a *account) ended(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endings.count(reason, a.reserved)
}
