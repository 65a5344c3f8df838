package route

// importable is a piece that a store can send, with what is the same for all candidates.
type importable struct {
	piece  int
	store  int
	disk   bool
	tokens float64
	link   float64 // seconds of the store's link
	read   float64 // seconds of the store's disk
	delay  float64 // transfer time times the seconds of transfers ahead
}

// prepareImports lists the pieces with a source.
func (q *Query) prepareImports() {
	q.imports = q.imports[:0]
	for k := range q.Request.Pieces {
		if q.sources[k].Store != None {
			q.imports = append(q.imports, q.importable(k))
		}
	}
}

func (q *Query) importable(k int) importable {
	p, source := &q.Request.Pieces[k], q.sources[k]
	s, bytes := &q.Cell.Stores[source.Store], float64(p.Bytes)
	i := importable{piece: k, store: source.Store, tokens: float64(p.Tokens), link: bytes / s.LinkRate}
	ahead := q.linkAt[source.Store]
	if source.Tier == Disk {
		i.disk = true
		i.read = bytes / s.DiskRate
		ahead = max(ahead, q.diskAt[source.Store])
	}
	i.delay = max(i.link, i.read) * ahead
	return i
}

// use adds i to the plan that is being weighed and returns when it has arrived.
func (q *Query) use(i *importable) float64 {
	q.linkUse[i.store] += i.link
	if !i.disk {
		return q.linkUse[i.store]
	}
	q.diskUse[i.store] += i.read
	return max(q.linkUse[i.store], q.diskUse[i.store])
}
