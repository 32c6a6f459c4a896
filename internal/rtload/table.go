package rtload

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Write prints the results of drafts by band, then of orders and status
// queries, then the work done.
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

func writeRow(w io.Writer, name string, t *Summary) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t%s\n", name, t.Sent, t.InTime, t.Late,
		short(t.FirstTextPercentile(50)), short(t.FirstTextPercentile(95)), short(t.FirstTextPercentile(99)), short(t.DurationPercentile(50)), short(t.DurationPercentile(95)), t.ends())
}

// ends lists outcomes other than done with their reasons.
func (t *Summary) ends() string {
	var parts []string
	for end, count := range t.EndCounts {
		if name := strings.TrimSpace(end.Outcome.String() + " " + string(end.Reason)); name != "done" {
			parts = append(parts, fmt.Sprintf("%s %d", name, count))
		}
	}
	if t.Broken > 0 {
		parts = append(parts, fmt.Sprintf("broken %d", t.Broken))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func short(d time.Duration) time.Duration {
	return d.Round(time.Millisecond)
}
