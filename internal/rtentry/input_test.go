package rtentry

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Guards against malformed input that is offered to a target, and against a
// refusal that does not list all findings.
func TestMalformed(t *testing.T) {
	const draft = `{"service":"drafts","prompt":"p","output":10,"limit":"30s"}`
	with := func(old, text string) string { return strings.Replace(draft, old, text, 1) }
	tests := []struct {
		name         string
		organisation string
		method, path string
		body         string
		status       int
		fields       []string
	}{
		{"no organisation", "", "POST", "/v1/drafts", draft, 400, []string{"Organisation"}},
		{"bad organisation", "a b", "POST", "/v1/drafts", draft, 400, []string{"Organisation"}},
		{"unknown organisation", "nobody", "POST", "/v1/drafts", draft, 403, []string{"Organisation"}},
		{"unplanned service", "court", "POST", "/v1/drafts", with("drafts", "other"), 403, []string{"service"}},
		{"service of orders", "court", "POST", "/v1/drafts", with("drafts", "orders"), 400, []string{"service"}},
		{"empty body", "court", "POST", "/v1/drafts", "", 400, []string{"body"}},
		{"null", "court", "POST", "/v1/drafts", "null", 400, []string{"body"}},
		{"array", "court", "POST", "/v1/drafts", "[]", 400, []string{"body"}},
		{"two objects", "court", "POST", "/v1/drafts", draft + draft, 400, []string{"body"}},
		{"all missing", "court", "POST", "/v1/drafts", "{}", 400, []string{"service", "prompt", "output", "limit"}},
		{"all wrong", "court", "POST", "/v1/drafts", `{"service":1,"prompt":2,"output":"3","limit":4,"model":5}`, 400,
			[]string{"service", "prompt", "output", "limit", "model"}},
		{"empty prompt", "court", "POST", "/v1/drafts", with(`"p"`, `""`), 400, []string{"prompt"}},
		{"null prompt", "court", "POST", "/v1/drafts", with(`"p"`, `null`), 400, []string{"prompt"}},
		{"no output", "court", "POST", "/v1/drafts", with("10", "0"), 400, []string{"output"}},
		{"huge output", "court", "POST", "/v1/drafts", with("10", "9999999"), 400, []string{"output"}},
		{"fraction", "court", "POST", "/v1/drafts", with("10", "1.5"), 400, []string{"output"}},
		{"limit not a duration", "court", "POST", "/v1/drafts", with("30s", "30"), 400, []string{"limit"}},
		{"limit negative", "court", "POST", "/v1/drafts", with("30s", "-1s"), 400, []string{"limit"}},
		{"limit too long", "court", "POST", "/v1/drafts", with("30s", "1h"), 400, []string{"limit"}},
		{"prompt too long", "court", "POST", "/v1/drafts", with(`"p"`, `"`+strings.Repeat("p", int(maxPrompt)+1)+`"`), 413,
			[]string{"prompt"}},
		{"body too long", "court", "POST", "/v1/drafts", with(`"p"`, `"`+strings.Repeat("p", int(maxDraftBody))+`"`), 413,
			[]string{"body"}},
		{"order without service", "court", "POST", "/v1/orders", "{}", 400, []string{"service"}},
		{"order of a draft service", "court", "POST", "/v1/orders", `{"service":"drafts"}`, 400, []string{"service"}},
		{"id not valid", "court", "GET", "/v1/orders/o.1", "", 404, nil},
		{"no such route", "court", "GET", "/v2", "", 404, nil},
		{"no such method", "court", "PATCH", "/v1/drafts", "", 405, nil},
	}
	agent := &fakeAgent{name: "engine-1"}
	run(t, func(f *fixture) {
		for _, test := range tests {
			response, err := f.send(test.organisation, test.method, test.path, strings.NewReader(test.body))
			if err != nil {
				t.Errorf("%s: %v", test.name, err)
				continue
			}
			var refused rtapi.ErrorBody
			err = json.NewDecoder(response.Body).Decode(&refused)
			_ = response.Body.Close()
			var names []string
			for _, finding := range refused.Findings {
				names = append(names, finding.Field)
			}
			if err != nil || response.StatusCode != test.status || !slices.Equal(names, test.fields) ||
				refused.Outcome != rtapi.NotRun || refused.Retry {
				t.Errorf("%s: status %d: %+v, %v; want the status and the findings of the test, not run and no retry", test.name, response.StatusCode, refused, err)
			}
		}
		if countOffers(agent) != 0 {
			t.Error("malformed input was offered to the target")
		}
		if held := f.entry.bufferedBytes.Load(); held != 0 {
			t.Errorf("%d bytes are still reserved for bodies that were refused, want 0", held)
		}
	}, agent)
}

// Guards against a caller that relies on an Idempotency-Key to repeat an order:
// the entry does not implement the header, so it must refuse it.
func TestIdempotencyKey(t *testing.T) {
	run(t, func(f *fixture) {
		request, err := http.NewRequest(http.MethodPost, "http://"+callersAddress+"/v1/orders", strings.NewReader(`{"service":"orders"}`))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Organisation", "court")
		request.Header.Set("Idempotency-Key", "1")
		response, err := f.client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(body), "Idempotency-Key") ||
			!strings.Contains(string(body), "/v1/orders/{id}") {
			t.Errorf("status %d: %s, want 400 with a finding that names Idempotency-Key and /v1/orders/{id}", response.StatusCode, body)
		}
	}, &fakeAgent{name: "order-1"})
}

// Guards against an entry that runs out of memory because many bodies arrive at
// once.
func TestBodiesTogether(t *testing.T) {
	run(t, func(f *fixture) {
		f.entry.bufferedBytes.Store(maxBufferedBytes - 10)
		if status, refused := f.postDraft("3s"); status != http.StatusServiceUnavailable ||
			refused.Reason != rtapi.ReasonCapacity || !refused.Retry {
			t.Errorf("status %d: %+v, want 503, reason capacity and retry", status, refused)
		}
		f.entry.bufferedBytes.Store(0)
		f.draft("3s")
		if held := f.entry.bufferedBytes.Load(); held != 0 {
			t.Errorf("%d bytes are still reserved after the draft, want 0", held)
		}
	}, &fakeAgent{name: "engine-1", text: testText})
}

// Guards against an order that is reported as unknown although it was never
// offered, because its body arrived after the time limit.
func TestOrderBodyLate(t *testing.T) {
	agent := &fakeAgent{name: "order-1"}
	run(t, func(f *fixture) {
		id := f.orderID()
		body, write := io.Pipe()
		go func() {
			<-time.After(2 * time.Second)
			_ = write.Close()
		}()
		response, err := f.send("court", http.MethodPut, "/v1/orders/"+id+"?limit=1s", body)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = response.Body.Close() }()
		var refused rtapi.ErrorBody
		if err := json.NewDecoder(response.Body).Decode(&refused); err != nil || refused.Outcome != rtapi.NotRun ||
			refused.Reason != rtapi.ReasonDeadline || refused.ID != "" || countOffers(agent) != 0 {
			t.Errorf("status %d: %+v, %v; want not run, reason deadline, no id and no offer", response.StatusCode, refused, err)
		}
	}, agent)
}

// Guards against callers that keep a connection open without sending a complete
// request.
func TestSlowInput(t *testing.T) {
	tests := []struct {
		name string
		sent string
		most time.Duration
		want string
	}{
		{"header", "POST /v1/drafts HTTP/1.1\r\nHost: a\r\n", headerTimeout + time.Second, ""},
		{"body", "POST /v1/drafts HTTP/1.1\r\nHost: a\r\nOrganisation: court\r\nContent-Length: 100\r\n\r\n{",
			bodyTimeout + time.Second, "HTTP/1.1 408"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(f *fixture) {
				connection, err := f.network.Host("10.0.9.9").Dial(t.Context(), callersAddress)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = connection.Close() }()
				began := time.Now()
				if _, err := connection.Write([]byte(test.sent)); err != nil {
					t.Fatal(err)
				}
				answer, err := io.ReadAll(connection)
				if took := time.Since(began); err != nil || took > test.most {
					t.Errorf("connection ended after %v: %v; want no error within the time of the test", took, err)
				}
				if !strings.HasPrefix(string(answer), test.want) {
					t.Errorf("got response %q, want the prefix of the test", answer)
				}
			}, &fakeAgent{name: "engine-1"})
		})
	}
}
