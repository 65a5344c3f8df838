package route

import "time"

// Query is a request with what is computed once for all candidates.
type Query struct {
	// Now is the time of the decision.
	Now time.Time
	// Request is the request.
	Request *Request
	// Cell is the view that the decision uses.
	Cell *Cell
	// Band is the request's priority band.
	Band int

	price                prices
	reserve, busyReserve int
	tail                 int
	sources              []Copy // the best copy of each piece; Store is None when there is none
	held                 []bool // candidate by piece
	imports              []importable
	linkAt               []float64 // backlog of each store's link
	diskAt               []float64
	linkUse              []float64 // backlog with the pieces of the plan that is being weighed
	diskUse              []float64
}

// prepare computes the parts that are common to all candidates.
func (q *Query) prepare(now time.Time, r *Request, c *Cell) {
	q.Now, q.Request, q.Cell = now, r, c
	q.Band = Band(r.Rules.Priority)
	q.price = pricesOf(&r.Rules)
	q.tail = r.Tail()
	q.reserve, q.busyReserve = countReserve(c.Candidates)
	q.prepareHeld()
	q.prepareStores()
}

func (q *Query) prepareHeld() {
	pieces := q.Request.Pieces
	n := len(pieces) * len(q.Cell.Candidates)
	q.held = resize(q.held, n)
	clear(q.held)
	for i := range pieces {
		for _, s := range pieces[i].Engines {
			q.held[s*len(pieces)+i] = true
		}
	}
}

// prepareStores picks the copy of each piece that arrives first at the links' present backlog.
func (q *Query) prepareStores() {
	stores := q.Cell.Stores
	q.linkAt = resize(q.linkAt, len(stores))
	q.diskAt = resize(q.diskAt, len(stores))
	q.linkUse = resize(q.linkUse, len(stores))
	q.diskUse = resize(q.diskUse, len(stores))
	for i := range stores {
		q.linkAt[i], q.diskAt[i] = backlog(&stores[i])
	}
	q.sources = resize(q.sources, len(q.Request.Pieces))
	for i := range q.Request.Pieces {
		q.sources[i] = q.bestCopy(&q.Request.Pieces[i])
	}
	q.prepareImports()
}

func (q *Query) bestCopy(p *Piece) Copy {
	best, at := Copy{Store: None}, 0.0
	for _, c := range p.Copies {
		s := &q.Cell.Stores[c.Store]
		if s.LinkRate <= 0 {
			continue
		}
		t := q.linkAt[c.Store] + float64(p.Bytes)/s.LinkRate
		if c.Tier == Disk && s.DiskRate <= 0 {
			continue
		}
		if c.Tier == Disk {
			t = max(t, q.diskAt[c.Store]+float64(p.Bytes)/s.DiskRate)
		}
		if best.Store == None || t < at {
			best, at = c, t
		}
	}
	return best
}

// heldBy returns which pieces candidate s has in memory.
func (q *Query) heldBy(s int) []bool {
	n := len(q.Request.Pieces)
	return q.held[s*n : (s+1)*n]
}

// resetUse starts a new plan.
func (q *Query) resetUse() {
	copy(q.linkUse, q.linkAt)
	copy(q.diskUse, q.diskAt)
}

// backlog returns the seconds until the link and the disk of s are free.
func backlog(s *Store) (link, disk float64) {
	if s.LinkRate > 0 {
		link = float64(s.LinkQueued) / s.LinkRate
	}
	if s.DiskRate > 0 {
		disk = float64(s.DiskQueued) / s.DiskRate
	}
	return link, disk
}

func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	return s[:n]
}
