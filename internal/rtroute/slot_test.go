package rtroute

import (
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against short prompts that queue at full targets without a long prefill
// while a target with a long prefill has free slots, and against long prompts
// that wait for memory while another target has enough.
func TestChooseTargetPlace(t *testing.T) {
	full := warm("full", "a")
	full.Running = full.Limit
	full.QueuedTokens = 100_000
	prefilling := warm("prefilling", "a")
	prefilling.PrefillTokens = 70_000
	short := Request{Tokens: 1000, Class: rtid.ClassShort}

	used := warm("used", "a")
	used.UsedMemory, used.TotalMemory = 300_000, 400_000
	empty := warm("empty", "a")
	empty.TotalMemory = 400_000
	empty.PrefillTokens = 50_000 // predicted first token is later than at used
	long := Request{Tokens: 200_000, Class: rtid.ClassLong}

	tests := []struct {
		name    string
		reports []Report
		request Request
		want    rtid.Target
	}{
		{"short with all places taken elsewhere", []Report{full, withSecondName(full), prefilling}, short, "prefilling"},
		{"long with memory at one target", []Report{used, empty}, long, "empty"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := newRandom()
			const tries = 200
			hits := 0
			for range tries {
				got, _ := NewPool(test.reports, "vm-1").ChooseTarget("a", test.request, random)
				if got == test.want {
					hits++
				}
			}
			// Two random targets of three do not include a given one in a third of
			// the tries.
			if hits < tries/2 {
				t.Errorf("%s was selected %d times of %d, want at least half", test.want, hits, tries)
			}
		})
	}
}

func withSecondName(report Report) Report {
	report.Target = "full-2"
	return report
}
