package rtfleet

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// BenchmarkDraft measures the processor time of drafts over loopback TCP, of
// caller, entry, agent and fake engine together. The figures per draft and per
// token are therefore upper bounds for entry and agent.
func BenchmarkDraft(b *testing.B) {
	tests := []struct {
		name   string
		prompt int // bytes
		output int64
	}{
		{"prompt=4KB/output=1", 4 << 10, 1},
		{"prompt=4KB/output=1000", 4 << 10, 1000},
		{"prompt=400KB/output=1", 400 << 10, 1},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			entry := startExampleFleet(b)
			caller := Caller{Client: rtnet.Client(&rtnet.TCP{}), Address: entry, Organisation: "high-court"}
			request := rtapi.DraftRequest{Service: "summaries", Output: test.output, Limit: "1m"}
			awaitDraft(b, caller, request)
			b.ResetTimer()
			before := processorTime(b)
			drafts := pool.New().WithErrors().WithMaxGoroutines(4)
			for i := range b.N {
				drafts.Go(func() error {
					draftRequest := request
					draftRequest.Prompt = fmt.Sprint(i, strings.Repeat("x", test.prompt))
					draft, err := caller.Draft(b.Context(), draftRequest, nil)
					if err == nil && draft.Outcome != rtapi.Done {
						err = fmt.Errorf("outcome %s, reason %s", draft.Outcome, draft.Reason)
					}
					return err
				})
			}
			if err := drafts.Wait(); err != nil {
				b.Fatal(err)
			}
			spent := processorTime(b) - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-µs/draft")
			b.ReportMetric(float64(spent.Microseconds())/float64(int64(b.N)*test.output), "cpu-µs/token")
		})
	}
}

// awaitDraft repeats a draft until it ends as done.
func awaitDraft(b *testing.B, caller Caller, request rtapi.DraftRequest) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), 20*time.Second)
	defer cancel()
	request.Prompt = "warm up"
	for {
		draft, err := caller.Draft(ctx, request, nil)
		if err == nil && draft.Outcome == rtapi.Done {
			return
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			b.Fatalf("fleet is not ready: last draft %+v, error %v", draft, err)
		}
	}
}

// processorTime returns the user and system time of this process so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
