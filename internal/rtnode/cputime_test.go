package rtnode

import (
	"syscall"
	"testing"
	"time"
)

// processorTime returns the user and system time of this process. A Hello
// also costs time in the server's goroutine, which wall clock time hides.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
