package rtentry

import (
	"net/http"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// FuzzDecode guards against bodies that crash the entry, are accepted with values
// out of range, or are refused without a finding.
func FuzzDecode(f *testing.F) {
	for _, body := range []string{
		`{"service":"summaries","prompt":"p","output":20,"limit":"30s"}`,
		`{"service":"summaries"}`,
		`{"service":"","prompt":"","output":0,"limit":"-1s","more":1}`,
		`{"service":["a"],"prompt":null,"output":1e30,"limit":30}`,
		`{"service":"a","service":"b","prompt":"\ud800","output":1,"limit":"1h"}`,
		`[1]`, `null`, `{} {}`, `{"prompt":"`, "\xff\xfe{}", "",
	} {
		f.Add([]byte(body))
	}
	const maxLimit = time.Minute
	f.Fuzz(func(t *testing.T, body []byte) {
		draft, refused := decodeDraft(body, maxLimit)
		switch {
		case refused != nil:
			checkRefusal(t, refused)
		case !rtid.ValidName(string(draft.service)), len(draft.prompt) == 0, rtid.Bytes(len(draft.prompt)) > maxPrompt,
			draft.output < 1, draft.output > maxOutput, draft.limit <= 0, draft.limit > maxLimit:
			t.Errorf("body %q is accepted as %+v", body, draft)
		}
		service, refused := decodeService(body)
		switch {
		case refused != nil:
			checkRefusal(t, refused)
		case !rtid.ValidName(string(service)):
			t.Errorf("body %q is accepted with service %q", body, service)
		}
	})
}

func checkRefusal(t *testing.T, refused *refusal) {
	t.Helper()
	status := refused.status
	if status != http.StatusBadRequest && status != http.StatusRequestEntityTooLarge {
		t.Errorf("refused with status %d, want 400 or 413", status)
	}
	if len(refused.body.Findings) == 0 || refused.body.Outcome != rtapi.NotRun || refused.body.Retry {
		t.Errorf("refusal is %+v, want findings, not run and no retry", refused.body)
	}
}
