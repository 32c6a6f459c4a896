package rtgateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a refusal that does not say whether the request may have run,
// or says so wrongly.
func TestRefusalText(t *testing.T) {
	tests := []struct {
		refused refusal
		want    string
	}{
		{*notRun("overloaded", time.Second), "has not run and will not; send it again after"},
		{*notRun("no room in time", 0), "has not run and will not; its time is over"},
		{refusal{status: http.StatusBadGateway, reason: "connection to target lost"}, "may have run"},
		{refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}, "may have run"},
		{refusal{status: http.StatusUnauthorized, reason: "unknown key"}, "was not sent to a target"},
	}
	for _, test := range tests {
		w := httptest.NewRecorder()
		test.refused.write(w)
		got := w.Body.String()
		if !strings.HasPrefix(got, test.refused.reason+": ") || !strings.Contains(got, test.want) {
			t.Errorf("%d: %q, want %q in it", test.refused.status, got, test.want)
		}
		if promised := strings.Contains(got, "will not"); promised != (test.refused.status == http.StatusServiceUnavailable) {
			t.Errorf("%d: %q, want the promise not to run with 503 only", test.refused.status, got)
		}
	}
}
