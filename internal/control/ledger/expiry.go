package ledger

import "container/heap"

// expiry is a heap of records, the next to expire first.
type expiry []*record

// noPlace marks a record that never expires by time.
const noPlace = -1

// Len implements heap.Interface.
func (e expiry) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiry) Less(i, j int) bool { return e[i].expires < e[j].expires }

// Swap implements heap.Interface.
func (e expiry) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].place = int32(i)
	e[j].place = int32(j)
}

// Push implements heap.Interface.
func (e *expiry) Push(x any) {
	r := x.(*record)
	r.place = int32(len(*e))
	*e = append(*e, r)
}

// Pop implements heap.Interface.
func (e *expiry) Pop() any {
	last := len(*e) - 1
	r := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	r.place = noPlace
	return r
}

// set puts r at the given time, moving it when it has a place.
func (e *expiry) set(r *record, at int64) {
	r.expires = at
	if r.place == noPlace {
		heap.Push(e, r)
		return
	}
	heap.Fix(e, int(r.place))
}

// drop takes r out when it has a place.
func (e *expiry) drop(r *record) {
	if r.place != noPlace {
		heap.Remove(e, int(r.place))
	}
}
