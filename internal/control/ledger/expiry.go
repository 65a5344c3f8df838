package ledger

import "container/heap"

// expiryQueue is a min-heap of records by expiry time.
type expiryQueue []*record

// notQueued is the index of a record that is not in the heap.
const notQueued = -1

// Len implements heap.Interface.
func (e expiryQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiryQueue) Less(i, j int) bool { return e[i].expires < e[j].expires }

// Swap implements heap.Interface.
func (e expiryQueue) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex = int32(i)
	e[j].heapIndex = int32(j)
}

// Push implements heap.Interface.
func (e *expiryQueue) Push(x any) {
	r := x.(*record)
	r.heapIndex = int32(len(*e))
	*e = append(*e, r)
}

// Pop implements heap.Interface.
func (e *expiryQueue) Pop() any {
	last := len(*e) - 1
	r := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	r.heapIndex = notQueued
	return r
}

// set changes the expiry time of r and adds r to the heap if it isn't in it.
func (e *expiryQueue) set(r *record, at int64) {
	r.expires = at
	if r.heapIndex == notQueued {
		heap.Push(e, r)
		return
	}
	heap.Fix(e, int(r.heapIndex))
}

// drop removes r if it is in the heap.
func (e *expiryQueue) drop(r *record) {
	if r.heapIndex != notQueued {
		heap.Remove(e, int(r.heapIndex))
	}
}
