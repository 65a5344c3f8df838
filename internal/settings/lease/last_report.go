package lease

// lastReport is the newest state that an entry has reported to the leader, by its name.
type lastReport struct {
	incarnation uint64
	applied     uint64
	released    bool
}

// with returns l updated by a renewal. A renewal of an earlier incarnation or one
// that arrives out of order reverts nothing.
func (l lastReport) with(r Renewal) lastReport {
	if r.Holder.Incarnation < l.incarnation {
		return l
	}
	if r.Holder.Incarnation > l.incarnation {
		l = lastReport{incarnation: r.Holder.Incarnation}
	}
	l.applied = max(l.applied, r.Applied)
	l.released = l.released || r.Released
	return l
}
