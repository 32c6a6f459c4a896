package rtroute

import (
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Guards against short prompts that crowd on the targets without a long
// prefill while others have free places, and against long prompts that wait
// for memory while another target has it.
func TestChooseTargetPlace(t *testing.T) {
	full := warm("full", "a")
	full.Running = full.Limit
	full.Queued = 100_000
	prefilling := warm("prefilling", "a")
	prefilling.Prefill = 70_000
	short := Request{Tokens: 1000, Class: rtid.ClassShort}

	used := warm("used", "a")
	used.Used, used.Total = 300_000, 400_000
	empty := warm("empty", "a")
	empty.Total = 400_000
	empty.Prefill = 50_000 // a later first token than at used
	long := Request{Tokens: 200_000, Class: rtid.ClassLong}

	tests := []struct {
		name    string
		reports []Report
		request Request
		want    rtid.Target
	}{
		{"short with all places taken elsewhere", []Report{full, full2(full), prefilling}, short, "prefilling"},
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
			// Two choices of three miss a target one time in three.
			if hits < tries/2 {
				t.Errorf("%s was chosen %d times of %d", test.want, hits, tries)
			}
		})
	}
}

func full2(report Report) Report {
	report.Target = "full-2"
	return report
}
