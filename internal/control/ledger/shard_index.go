package ledger

// insert adds r to the records, the counters and the index of live claims.
func (s *shard) insert(r *record) {
	s.records[r.scope] = r
	s.count(r, 1)
	s.track(r)
}

// remove deletes r from the records, the counters, the index of live claims and the expiry queue.
func (s *shard) remove(r *record) {
	s.untrack(r)
	s.count(r, -1)
	s.queue.drop(r)
	delete(s.records, r.scope)
}

// setPhase changes the phase of r and updates the counters and the index of live claims.
func (s *shard) setPhase(r *record, to phase) {
	s.untrack(r)
	s.count(r, -1)
	r.phase = to
	s.count(r, 1)
	s.track(r)
}

func (s *shard) track(r *record) {
	if r.phase != live {
		return
	}
	records, ok := s.liveByOwner[*r.owner]
	if !ok {
		records = map[*record]struct{}{}
		s.liveByOwner[*r.owner] = records
	}
	records[r] = struct{}{}
}

func (s *shard) untrack(r *record) {
	if r.phase != live {
		return
	}
	records := s.liveByOwner[*r.owner]
	delete(records, r)
	if len(records) == 0 {
		delete(s.liveByOwner, *r.owner)
	}
}

func (s *shard) count(r *record, by int) {
	c, ok := s.counts[r.scope.Workspace]
	if !ok {
		c = &Counts{}
		s.counts[r.scope.Workspace] = c
	}
	*c.of(r.phase) += by
}

// of returns the counter of phase p.
func (c *Counts) of(p phase) *int {
	switch p {
	case settled:
		return &c.Outcomes
	case unknown:
		return &c.Unknown
	case released:
		return &c.Released
	default:
		return &c.Live
	}
}

// add returns the sum of c and d, field by field.
func (c Counts) add(d Counts) Counts {
	c.Live += d.Live
	c.Outcomes += d.Outcomes
	c.Unknown += d.Unknown
	c.Released += d.Released
	return c
}
