package rtnode

import (
	"syscall"
	"testing"
	"time"
)

// cpuTime returns the user and system time of this process. It includes the
// time of the server's goroutine, which the wall clock time of a Hello hides.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
