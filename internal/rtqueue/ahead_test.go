package rtqueue

import (
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against counting long prompts that wait or run as ahead of shorter
// ones, which would refuse the shorter ones although engines prefill them
// first.
func TestAhead(t *testing.T) {
	now := time.Now()
	q := New(Limits{MaxWaiting: 10, MaxBytes: 100, MaxLongPrefill: 1 << 20})
	for _, item := range []Item{
		{ID: "long", Class: rtid.ClassLong, Tokens: 100_000},
		{ID: "long-2", Class: rtid.ClassLong, Tokens: 100_000},
		{ID: "medium", Class: rtid.ClassMedium, Tokens: 10_000},
		{ID: "short", Class: rtid.ClassShort, Tokens: 1000},
	} {
		item.Arrived = now.Add(-AgeLimit / 2)
		item.Deadline = now.Add(time.Minute)
		q.Push(item)
	}
	want := map[rtid.Class]rtid.Tokens{rtid.ClassShort: 1000, rtid.ClassMedium: 11_000, rtid.ClassLong: 211_000}
	for range 3 {
		for class, tokens := range want {
			if got := q.TokensAhead(class); got != tokens {
				t.Errorf("%v, %d running: %d tokens ahead, want %d", class, q.Running(), got, tokens)
			}
		}
		q.Pop(now, 8, 1<<20) // running requests before their first token count like waiting ones
	}
}
