package rtdelivery

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against a target that is known as faulty for ever, or that is not known at all,
// and against one that answers for another start of the same ID.
func TestTruncations(t *testing.T) {
	var truncations Truncations
	begin := time.Unix(1000, 0)
	truncations.Record("t", 1, begin)
	tests := []struct {
		target rtid.Target
		start  rtid.Incarnation
		after  time.Duration
		want   bool
	}{
		{"t", 1, 0, true},
		{"t", 1, truncationTTL - 1, true},
		{"t", 1, truncationTTL, false},
		{"t", 2, 0, false},
		{"u", 1, 0, false},
	}
	for _, test := range tests {
		if got := truncations.Truncates(test.target, test.start, begin.Add(test.after)); got != test.want {
			t.Errorf("%s, start %d, after %v: got %v, want %v", test.target, test.start, test.after, got, test.want)
		}
	}
}

// Guards against a register that grows without bound, or that drops what it has just
// recorded.
func TestTruncationsAreBounded(t *testing.T) {
	var truncations Truncations
	now := time.Unix(1000, 0)
	for i := range 2 * maxTruncations {
		now = now.Add(time.Millisecond)
		target := rtid.Target(fmt.Sprint("t", i))
		truncations.Record(target, 1, now)
		if len(truncations.seen) > maxTruncations || !truncations.Truncates(target, 1, now) {
			t.Fatalf("%d targets, the last one known %v; want at most %d, and the last one", len(truncations.seen), truncations.Truncates(target, 1, now), maxTruncations)
		}
	}
}
