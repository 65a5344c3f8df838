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
	sources              []Copy    // the best copy of each piece; Store is None when there is none
	held                 []bool    // candidate by piece
	linkTime             []float64 // seconds of the link for each piece from its source
	diskTime             []float64
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
	q.linkTime = resize(q.linkTime, len(q.sources))
	q.diskTime = resize(q.diskTime, len(q.sources))
	for i := range q.Request.Pieces {
		q.sources[i] = q.bestCopy(&q.Request.Pieces[i])
		q.linkTime[i], q.diskTime[i] = q.times(i)
	}
}

// times returns how long piece i occupies the link and the disk of its source.
func (q *Query) times(i int) (link, disk float64) {
	source := q.sources[i]
	if source.Store == None {
		return 0, 0
	}
	s, bytes := &q.Cell.Stores[source.Store], float64(q.Request.Pieces[i].Bytes)
	if source.Tier == Disk {
		disk = bytes / s.DiskRate
	}
	return bytes / s.LinkRate, disk
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

// use adds piece k to the plan and returns when it has arrived.
func (q *Query) use(source Copy, k int) float64 {
	q.linkUse[source.Store] += q.linkTime[k]
	if source.Tier == Memory {
		return q.linkUse[source.Store]
	}
	q.diskUse[source.Store] += q.diskTime[k]
	return max(q.linkUse[source.Store], q.diskUse[source.Store])
}

// behind returns the seconds of transfers ahead of a new one from source.
func (q *Query) behind(source Copy) float64 {
	if source.Tier == Memory {
		return q.linkAt[source.Store]
	}
	return max(q.linkAt[source.Store], q.diskAt[source.Store])
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
