package rtdocument

import "github.com/rhubarbtally/rhubarbtally/internal/rtfinding"

// maxFindings bounds the memory that a refused document takes. Every process
// reads each published document, so an invalid one of the largest size must
// not exhaust the memory of all VMs.
const maxFindings = 1000

// limitedList collects findings up to maxFindings.
type limitedList struct {
	list  rtfinding.List
	count int
}

// full reports whether further findings are dropped.
func (l *limitedList) full() bool {
	return l.count >= maxFindings
}

func (l *limitedList) add(location rtfinding.Location, format string, args ...any) {
	if l.full() {
		return
	}
	l.count++
	l.list.Add(location, format, args...)
	if l.full() {
		l.list.Add(rtfinding.Location{}, "reading stopped after %d findings, there may be more", maxFindings)
	}
}
