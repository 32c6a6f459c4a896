package rtapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
)

func succeeded(err error) bool { return err == nil }

func damaged(err error) bool { return errors.Is(err, ErrDamaged) }

func refused(err error) bool {
	var failure *Error
	return errors.As(err, &failure)
}

// step is one scripted response of an entry. Status 0 is a connection that breaks
// before the response.
type step struct {
	status int
	body   string
	cut    bool // the connection breaks after the body
}

// script is a transport that responds to calls with its steps in order.
type script struct {
	steps []step
	calls []string // method, path and query
}

// RoundTrip responds from memory, so that tests need no sockets.
func (s *script) RoundTrip(r *http.Request) (*http.Response, error) {
	call := r.Method + " " + r.URL.Host + r.URL.Path
	if r.URL.RawQuery != "" {
		call += "?" + r.URL.RawQuery
	}
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		return nil, errors.New("script has no response for this call")
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	if next.status == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	recorder := httptest.NewRecorder()
	recorder.WriteHeader(next.status)
	_, _ = recorder.WriteString(next.body)
	response := recorder.Result()
	if next.cut {
		response.Body = io.NopCloser(io.MultiReader(strings.NewReader(next.body), brokenReader{}))
	}
	return response, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func newClient(steps ...step) (*Client, *script) {
	s := &script{steps: steps}
	return &Client{Entries: []string{"http://a", "http://b"}, Organisation: "court", HTTP: &http.Client{Transport: s}}, s
}

const (
	start   = `{"event":"start","id":"d.1"}` + "\n"
	first   = `{"event":"text","offset":0,"text":"ab"}` + "\n"
	second  = `{"event":"text","offset":2,"text":"cd"}` + "\n"
	unknown = `{"id":"o.1","outcome":"unknown","reason":"unreachable","retry":true}`
	notRun  = `{"id":"o.1","outcome":"notrun","reason":"queue","retry":true}`
	done    = `{"id":"o.1","outcome":"done","result":"eA=="}`
)

func endOf(text string) string {
	return fmt.Sprintf(`{"event":"end","outcome":"done","reason":"","size":%d,"checksum":"%016x","retry":false}`+"\n",
		len(text), xxhash.Sum64String(text))
}

// synctestRun runs a subtest in virtual time.
func synctestRun(t *testing.T, name string, test func(*testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// Guards against missing or repeated text after a stream is resumed, and against
// damaged text that is returned as an answer.
func TestDraft(t *testing.T) {
	failed := `{"event":"end","outcome":"failed","reason":"target","size":2,"checksum":"","retry":true}`
	tests := []struct {
		name  string
		steps []step
		text  string
		calls []string
		want  func(error) bool
	}{
		{"whole", []step{{200, start + first + second + endOf("abcd"), false}}, "abcd", []string{"POST a/v1/drafts"}, succeeded},
		{"cut and resumed elsewhere", []step{{200, start + first, true}, {200, start + second + endOf("abcd"), false}}, "abcd",
			[]string{"POST a/v1/drafts", "GET b/v1/drafts/d.1?offset=2"}, succeeded},
		{"cut without error", []step{{200, start + first, false}, {0, "", false}, {200, start + second + endOf("abcd"), false}}, "abcd",
			[]string{"POST a/v1/drafts", "GET b/v1/drafts/d.1?offset=2", "GET a/v1/drafts/d.1?offset=2"}, succeeded},
		{"lost before the start", []step{{0, "", false}, {200, start + first + endOf("ab"), false}}, "ab",
			[]string{"POST a/v1/drafts", "POST b/v1/drafts"}, succeeded},
		{"moved", []step{{200, start + first + strings.Replace(start, "d.1", "d.2", 1) + second + endOf("abcd"), false}}, "abcd",
			[]string{"POST a/v1/drafts"}, succeeded},
		{"gap", []step{{200, start + second + endOf("cd"), false}}, "", []string{"POST a/v1/drafts"}, damaged},
		{"wrong checksum", []step{{200, start + first + endOf("xy"), false}}, "ab", []string{"POST a/v1/drafts"}, damaged},
		{"failed", []step{{200, start + first + failed, false}}, "ab", []string{"POST a/v1/drafts"}, refused},
		{"refused", []step{{503, notRun, false}}, "", []string{"POST a/v1/drafts"}, refused},
	}
	for _, test := range tests {
		synctestRun(t, test.name, func(t *testing.T) {
			client, script := newClient(test.steps...)
			var text strings.Builder
			_, err := client.Draft(t.Context(), DraftRequest{}, &text)
			if text.String() != test.text || !slices.Equal(script.calls, test.calls) {
				t.Errorf("got text %q by calls %q, want those of the test", text.String(), script.calls)
			}
			if !test.want(err) {
				t.Errorf("got error %v, which the test does not allow", err)
			}
		})
	}
}

// Guards against an order that runs twice because it is sent with a second ID
// while it may have run under the first.
func TestOrder(t *testing.T) {
	id := step{201, `{"id":"o.1"}`, false}
	other := step{201, `{"id":"o.2"}`, false}
	post, postB := "POST a/v1/orders", "POST b/v1/orders"
	put, putB := "PUT a/v1/orders/o.1?limit=1s", "PUT b/v1/orders/o.1?limit=1s"
	tests := []struct {
		name    string
		steps   []step
		calls   []string
		outcome Outcome
	}{
		{"done", []step{id, {200, done, false}}, []string{post, put}, Done},
		{"id lost", []step{{}, id, {200, done, false}}, []string{post, postB, putB}, Done},
		{"answer lost", []step{id, {}, {200, done, false}}, []string{post, put, putB}, Done},
		{"answer cut", []step{id, {200, `{"id":`, true}, {200, done, false}}, []string{post, put, putB}, Done},
		{"unknown, asked again", []step{id, {504, unknown, false}, {200, done, false}}, []string{post, put, putB}, Done},
		{"entry not ready after a lost answer", []step{id, {}, {503, `{"outcome":"notrun","reason":"notready","retry":true}`, false},
			{200, done, false}}, []string{post, put, putB, put}, Done},
		{"not run, new id", []step{id, {503, notRun, false}, other, {200, done, false}},
			[]string{post, put, postB, "PUT b/v1/orders/o.2?limit=1s"}, Done},
		{"unknown for good", []step{id, {504, strings.Replace(unknown, "true", "false", 1), false}}, []string{post, put}, Unknown},
		{"failed", []step{id, {502, `{"id":"o.1","outcome":"failed","reason":"target","retry":false}`, false}}, []string{post, put}, Failed},
	}
	for _, test := range tests {
		synctestRun(t, test.name, func(t *testing.T) {
			client, script := newClient(test.steps...)
			status, err := client.Order(t.Context(), "filings", []byte("x"), time.Second)
			var failure *Error
			outcome := status.Outcome
			if errors.As(err, &failure) {
				outcome = failure.Body.Outcome
			} else if err != nil {
				t.Fatal(err)
			}
			if outcome != test.outcome || !slices.Equal(script.calls, test.calls) {
				t.Errorf("got outcome %v by calls %q, want those of the test", outcome, script.calls)
			}
		})
	}
}

// Guards against an order that is reported as failed although its outcome is not
// known when the context ends.
func TestOrderContext(t *testing.T) {
	client, _ := newClient(step{201, `{"id":"o.1"}`, false})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := client.Order(ctx, "filings", nil, time.Second)
	var failure *Error
	if !errors.As(err, &failure) || failure.Body.Outcome != Unknown || failure.Body.ID != "o.1" || !failure.Body.Retry {
		t.Errorf("got %v, want an *Error with outcome unknown, the id and retry", err)
	}
}
