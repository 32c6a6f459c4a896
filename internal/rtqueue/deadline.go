package rtqueue

// deadlines is a heap of waiting requests, earliest deadline first.
type deadlines []*entry

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index = i
	d[j].index = j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	added := x.(*entry)
	added.index = len(*d)
	*d = append(*d, added)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	removed := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return removed
}
