package rtentry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"
	"unicode/utf8"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Bounds of callers' input.
const (
	maxPrompt    rtid.Bytes  = 8 << 20
	maxDraftBody             = 2*int64(maxPrompt) + 64<<10 // a prompt with every character escaped once, and the other fields
	maxOrderBody             = 1 << 20                     // fits a control message of 1.5 MiB
	maxSmallBody             = 4 << 10
	maxOutput    rtid.Tokens = 1 << 20
)

const keyExplanation = "not accepted, because two targets could each find the same key new and run the order twice; " +
	"get an id with POST /v1/orders, then send the order with PUT /v1/orders/{id} and repeat that with the same id"

// oversized returns the refusal of an input that is too large.
func oversized(findings ...rtapi.Finding) *refusal {
	refused := malformed(findings...)
	refused.status = http.StatusRequestEntityTooLarge
	return refused
}

// fields decodes a JSON object field by field and collects all findings.
type fields struct {
	raw      map[string]json.RawMessage
	findings []rtapi.Finding
}

// add appends a finding.
func (f *fields) add(field, format string, args ...any) {
	f.findings = append(f.findings, rtapi.Finding{Field: field, Text: fmt.Sprintf(format, args...)})
}

// decodeFields splits a JSON object.
func decodeFields(body []byte) *fields {
	f := &fields{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&f.raw); err != nil {
		f.add("body", "not a JSON object: %v", err)
		return f
	}
	if f.raw == nil {
		f.add("body", "not a JSON object: null")
		return f
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		f.add("body", "has data after the JSON object")
	}
	return f
}

// take decodes a required field into value. It reports whether it could.
func (f *fields) take(name string, value any, want string) bool {
	raw, ok := f.raw[name]
	delete(f.raw, name)
	switch {
	case f.raw == nil:
		return false
	case !ok:
		f.add(name, "missing, want %s", want)
		return false
	case string(raw) == "null" || json.Unmarshal(raw, value) != nil:
		f.add(name, "want %s", want)
		return false
	}
	return true
}

// finish reports the fields that were not taken.
func (f *fields) finish() {
	names := make([]string, 0, len(f.raw))
	for name := range f.raw {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		f.add(name, "not a known field")
	}
}

// draftBody is a decoded body of POST /v1/drafts.
type draftBody struct {
	service rtid.Service
	prompt  []byte
	output  rtid.Tokens
	limit   time.Duration
}

// decodeDraft decodes the body of POST /v1/drafts with all its findings.
func decodeDraft(body []byte, longest time.Duration) (draftBody, *refusal) {
	var draft draftBody
	var prompt, limit string
	f := decodeFields(body)
	f.takeService(&draft.service)
	if f.take("prompt", &prompt, "a string") && prompt == "" {
		f.add("prompt", "is empty")
	}
	if f.take("output", &draft.output, "a number of tokens") && (draft.output < 1 || draft.output > maxOutput) {
		f.add("output", "is %d, want 1 to %d tokens", draft.output, maxOutput)
	}
	if f.take("limit", &limit, `a duration such as "30s"`) {
		draft.limit = f.limit(limit, longest)
	}
	f.finish()
	tooLong := rtid.Bytes(len(prompt)) > maxPrompt
	if tooLong {
		f.add("prompt", "has %d bytes, want at most %d", len(prompt), maxPrompt)
	}
	draft.prompt = []byte(prompt)
	switch {
	case tooLong:
		return draft, oversized(f.findings...)
	case len(f.findings) > 0:
		return draft, malformed(f.findings...)
	default:
		return draft, nil
	}
}

// decodeService decodes the body of POST /v1/orders.
func decodeService(body []byte) (rtid.Service, *refusal) {
	var service rtid.Service
	f := decodeFields(body)
	f.takeService(&service)
	f.finish()
	if len(f.findings) > 0 {
		return "", malformed(f.findings...)
	}
	return service, nil
}

// takeService decodes the name of a service.
func (f *fields) takeService(service *rtid.Service) {
	if f.take("service", service, "the name of a service") && !rtid.ValidName(string(*service)) {
		f.add("service", "is not a valid name")
	}
}

// limit parses a caller's time limit.
func (f *fields) limit(text string, longest time.Duration) time.Duration {
	limit, err := time.ParseDuration(text)
	switch {
	case err != nil:
		f.add("limit", `want a duration such as "30s"`)
	case limit <= 0:
		f.add("limit", "is %v, want over 0", limit)
	case limit > longest:
		f.add("limit", "is %v, want at most %v", limit, longest)
	}
	return limit
}

// checkHeader returns the organisation that a request names, or the findings
// about its header.
func checkHeader(r *http.Request) (rtid.Organisation, []rtapi.Finding) {
	var f fields
	if r.Header.Get("Idempotency-Key") != "" {
		f.add("Idempotency-Key", keyExplanation)
	}
	name := r.Header.Get(headerOrganisation)
	switch {
	case name == "":
		f.add(headerOrganisation, "header is missing")
	case !utf8.ValidString(name) || !rtid.ValidName(name):
		f.add(headerOrganisation, "header is not a valid name")
	}
	return rtid.Organisation(name), f.findings
}
