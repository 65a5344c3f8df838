package lease

// standing is the last that the leader heard of an entry by its name.
type standing struct {
	incarnation uint64
	applied     uint64
	released    bool
}

// with returns p after a renewal; one of an earlier start, or one that was
// overtaken on its way, takes nothing back.
func (p standing) with(r Renewal) standing {
	if r.Holder.Incarnation < p.incarnation {
		return p
	}
	if r.Holder.Incarnation > p.incarnation {
		p = standing{incarnation: r.Holder.Incarnation}
	}
	p.applied = max(p.applied, r.Applied)
	p.released = p.released || r.Released
	return p
}
