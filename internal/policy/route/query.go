package route

import "time"

// Query is a request with the values that are computed once for all candidates.
type Query struct {
	// Now is the time of the decision.
	Now time.Time
	// Request is the request.
	Request *Request
	// Cell is the view on which the decision is based.
	Cell *Cell
	// Band is the request's priority band.
	Band int

	price                prices
	reserve, busyReserve int
	tail                 int
	sources              []Copy // the best copy of each piece; Store is None if no copy can be read
	held                 []bool // indexed by candidate, then piece
	imports              []importable
	linkBacklog          []float64 // backlog of each store's link, in seconds
	diskBacklog          []float64
	linkPlanned          []float64 // linkBacklog plus the transfers of the plan under evaluation
	diskPlanned          []float64
}

// prepare computes the values that are common to all candidates.
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

// prepareStores chooses for each piece the copy that arrives first at the current backlog of the
// links.
func (q *Query) prepareStores() {
	stores := q.Cell.Stores
	q.linkBacklog = resize(q.linkBacklog, len(stores))
	q.diskBacklog = resize(q.diskBacklog, len(stores))
	q.linkPlanned = resize(q.linkPlanned, len(stores))
	q.diskPlanned = resize(q.diskPlanned, len(stores))
	for i := range stores {
		q.linkBacklog[i], q.diskBacklog[i] = backlog(&stores[i])
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
		t := q.linkBacklog[c.Store] + float64(p.Bytes)/s.LinkRate
		if c.Tier == Disk && s.DiskRate <= 0 {
			continue
		}
		if c.Tier == Disk {
			t = max(t, q.diskBacklog[c.Store]+float64(p.Bytes)/s.DiskRate)
		}
		if best.Store == None || t < at {
			best, at = c, t
		}
	}
	return best
}

// heldBy returns, by piece, whether candidate s holds it in memory.
func (q *Query) heldBy(s int) []bool {
	n := len(q.Request.Pieces)
	return q.held[s*n : (s+1)*n]
}

// resetTransfers starts the evaluation of a new plan.
func (q *Query) resetTransfers() {
	copy(q.linkPlanned, q.linkBacklog)
	copy(q.diskPlanned, q.diskBacklog)
}

// backlog returns the time in seconds until the link and the disk of s are idle.
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
