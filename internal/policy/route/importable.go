package route

// importable is a piece that a store can send, with the values that are the same for all
// candidates.
type importable struct {
	piece  int
	store  int
	disk   bool
	tokens float64
	link   float64 // transfer time on the store's link, in seconds
	read   float64 // read time from the store's disk, in seconds
	delay  float64 // transfer time multiplied by the seconds of transfers queued ahead
}

// prepareImports lists the pieces that have a copy to import.
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
	ahead := q.linkBacklog[source.Store]
	if source.Tier == Disk {
		i.disk = true
		i.read = bytes / s.DiskRate
		ahead = max(ahead, q.diskBacklog[source.Store])
	}
	i.delay = max(i.link, i.read) * ahead
	return i
}

// addTransfer adds i to the plan under evaluation and returns when its transfer is complete.
func (q *Query) addTransfer(i *importable) float64 {
	q.linkPlanned[i.store] += i.link
	if !i.disk {
		return q.linkPlanned[i.store]
	}
	q.diskPlanned[i.store] += i.read
	return max(q.linkPlanned[i.store], q.diskPlanned[i.store])
}
