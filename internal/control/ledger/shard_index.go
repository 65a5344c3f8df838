package ledger

// insert adds r to the maps and counts.
func (s *shard) insert(r *record) {
	s.records[r.scope] = r
	s.count(r, 1)
	s.track(r)
}

// remove takes r out of everything.
func (s *shard) remove(r *record) {
	s.untrack(r)
	s.count(r, -1)
	s.queue.drop(r)
	delete(s.records, r.scope)
}

// move gives r another phase.
func (s *shard) move(r *record, to phase) {
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
	records, ok := s.live[*r.owner]
	if !ok {
		records = map[*record]struct{}{}
		s.live[*r.owner] = records
	}
	records[r] = struct{}{}
}

func (s *shard) untrack(r *record) {
	if r.phase != live {
		return
	}
	records := s.live[*r.owner]
	delete(records, r)
	if len(records) == 0 {
		delete(s.live, *r.owner)
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

// of returns the counter of one phase.
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

// add returns the sums of c and d.
func (c Counts) add(d Counts) Counts {
	c.Live += d.Live
	c.Outcomes += d.Outcomes
	c.Unknown += d.Unknown
	c.Released += d.Released
	return c
}
