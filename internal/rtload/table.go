package rtload

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Write writes a table with the results of drafts by band, of all drafts, of
// orders and of status requests, and then the prompt tokens done in time.
func (r *Recorder) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "band\tsent\tin time\tlate\tfirst p50\tfirst p95\tfirst p99\twhole p50\twhole p95\tends")
	for i, band := range Bands {
		writeRow(table, band.Name, r.Summarise(func(x *Result) bool { return x.Kind == KindDraft && x.Band == i }))
	}
	writeRow(table, "drafts", r.Summarise(func(x *Result) bool { return x.Kind == KindDraft }))
	writeRow(table, "orders", r.Summarise(func(x *Result) bool { return x.Kind == KindOrder }))
	writeRow(table, "status", r.Summarise(func(x *Result) bool { return x.Kind == KindStatus }))
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	all := r.Summarise(func(x *Result) bool { return x.Kind == KindDraft })
	_, err := fmt.Fprintf(w, "prompt tokens done in time %d of %d offered, latest sent %v late\n", all.TokensInTime, all.TokensOffered, r.MaxSendDelay())
	return err
}

func writeRow(w io.Writer, name string, s *Summary) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%s\n", name, s.Sent, s.InTime, s.Late,
		roundToMilliseconds(s.FirstTextPercentile(50)), roundToMilliseconds(s.FirstTextPercentile(95)),
		roundToMilliseconds(s.FirstTextPercentile(99)), roundToMilliseconds(s.DurationPercentile(50)),
		roundToMilliseconds(s.DurationPercentile(95)), s.formatEnds())
}

// formatEnds lists the number of requests by outcome and reason, other than
// done.
func (s *Summary) formatEnds() string {
	var items []string
	for end, count := range s.EndCounts {
		if name := strings.TrimSpace(end.Outcome.String() + " " + string(end.Reason)); name != "done" {
			items = append(items, fmt.Sprintf("%s %d", name, count))
		}
	}
	if s.Broken > 0 {
		items = append(items, fmt.Sprintf("broken %d", s.Broken))
	}
	slices.Sort(items)
	return strings.Join(items, ", ")
}

func roundToMilliseconds(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
