package rtentry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// promptBands are the prompt length bands of the time-to-first-token metric.
var promptBands = []struct {
	limit rtid.Tokens
	name  string
}{
	{1 << 10, "1k"},
	{4 << 10, "4k"},
	{16 << 10, "16k"},
	{64 << 10, "64k"},
	{256 << 10, "256k"},
	{1 << 20, "1m"},
}

// firstTokenBuckets range from 1 ms to 10 min 47 s in steps of a factor of 1.5.
var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 34)

// bandOf returns the name of the length band of a prompt. Prompts longer than
// the last band are counted in it.
func bandOf(tokens rtid.Tokens) string {
	for _, band := range promptBands {
		if tokens <= band.limit {
			return band.name
		}
	}
	return promptBands[len(promptBands)-1].name
}

// countDraftEnd counts a draft that has ended, by outcome and reason.
func (e *Entry) countDraftEnd(outcome rtapi.Outcome, reason rtapi.Reason) {
	tags := map[string]string{"outcome": outcome.String(), "reason": string(reason)}
	e.metrics.Scope.Tagged(tags).Counter("drafts").Inc(1)
}

// observeFirstToken records the time to first token by prompt length band.
func (d *delivery) observeFirstToken() {
	tags := map[string]string{"band": bandOf(d.draft.tokens)}
	histogram := d.entry.metrics.Scope.Tagged(tags).Histogram("first_token", firstTokenBuckets)
	histogram.RecordDuration(time.Since(d.draft.arrived))
}
