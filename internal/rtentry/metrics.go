package rtentry

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// bands are the prompt lengths by which the time to first token is measured.
var bands = []struct {
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

// firstTokenBuckets reach from 1 ms to 9 min in steps of a factor of 1.5.
var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.5, 34)

// bandOf returns the name of the length band of a prompt. Longer prompts than
// the last band count in it.
func bandOf(tokens rtid.Tokens) string {
	for _, band := range bands {
		if tokens <= band.limit {
			return band.name
		}
	}
	return bands[len(bands)-1].name
}

// countEnd counts the end of a draft.
func (e *Entry) countEnd(outcome rtapi.Outcome, reason rtapi.Reason) {
	tags := map[string]string{"outcome": outcome.String(), "reason": string(reason)}
	e.metrics.Scope.Tagged(tags).Counter("drafts").Inc(1)
}

// observeFirst records the time to first token.
func (d *delivery) observeFirst() {
	tags := map[string]string{"band": bandOf(d.draft.tokens)}
	histogram := d.entry.metrics.Scope.Tagged(tags).Histogram("first_token", firstTokenBuckets)
	histogram.RecordDuration(time.Since(d.draft.arrived))
}
