package workload

// pending is a heap of arrivals, ordered by time and then by number.
type pending []Arrival

func (p pending) Len() int { return len(p) }

func (p pending) Less(i, j int) bool {
	if p[i].At != p[j].At {
		return p[i].At < p[j].At
	}
	return p[i].Number < p[j].Number
}

func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

func (p *pending) Push(x any) { *p = append(*p, x.(Arrival)) }

func (p *pending) Pop() any {
	last := len(*p) - 1
	a := (*p)[last]
	*p = (*p)[:last]
	return a
}
