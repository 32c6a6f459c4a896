package rtqueue

// deadlineHeap is a heap of waiting requests, earliest deadline first.
type deadlineHeap []*entry

func (d deadlineHeap) Len() int { return len(d) }

func (d deadlineHeap) Less(i, j int) bool { return d[i].Deadline.Before(d[j].Deadline) }

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index = i
	d[j].index = j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	added := x.(*entry)
	added.index = len(*d)
	*d = append(*d, added)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	removed := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return removed
}
