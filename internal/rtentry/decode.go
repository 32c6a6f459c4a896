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

// Limits of callers' input.
const (
	maxPrompt    rtid.Bytes  = 8 << 20
	maxDraftBody             = 2*int64(maxPrompt) + 64<<10 // a prompt with every character escaped once, and the other fields
	maxOrderBody             = 1 << 20                     // must fit into a control message, which is at most 1.5 MiB
	maxSmallBody             = 4 << 10
	maxOutput    rtid.Tokens = 1 << 20
)

const idempotencyKeyRefusal = "not accepted, because two targets could each find the same key new and run the order twice; " +
	"get an id with POST /v1/orders, then send the order with PUT /v1/orders/{id} and repeat that with the same id"

// oversized returns the refusal of input over a size limit, with its findings.
func oversized(findings ...rtapi.Finding) *refusal {
	refused := malformed(findings...)
	refused.status = http.StatusRequestEntityTooLarge
	return refused
}

// fields decodes a JSON object field by field and collects the findings.
type fields struct {
	raw      map[string]json.RawMessage
	findings []rtapi.Finding
}

// addFinding appends a finding about a field.
func (f *fields) addFinding(field, format string, args ...any) {
	f.findings = append(f.findings, rtapi.Finding{Field: field, Text: fmt.Sprintf(format, args...)})
}

// decodeFields splits a JSON object into its undecoded fields.
func decodeFields(body []byte) *fields {
	f := &fields{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(&f.raw); err != nil {
		f.addFinding("body", "not a JSON object: %v", err)
		return f
	}
	if f.raw == nil {
		f.addFinding("body", "not a JSON object: null")
		return f
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		f.addFinding("body", "has data after the JSON object")
	}
	return f
}

// decodeField decodes a required field into value and removes it from raw. If
// the field is missing or of another type, it adds a finding and returns false.
// If the body is not a JSON object, it returns false without a finding, because
// decodeFields has added one.
func (f *fields) decodeField(name string, value any, want string) bool {
	raw, ok := f.raw[name]
	delete(f.raw, name)
	switch {
	case f.raw == nil:
		return false
	case !ok:
		f.addFinding(name, "missing, want %s", want)
		return false
	case string(raw) == "null" || json.Unmarshal(raw, value) != nil:
		f.addFinding(name, "want %s", want)
		return false
	}
	return true
}

// rejectUnknown adds a finding for each field that was not decoded.
func (f *fields) rejectUnknown() {
	names := make([]string, 0, len(f.raw))
	for name := range f.raw {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		f.addFinding(name, "not a known field")
	}
}

// draftBody is the decoded body of POST /v1/drafts.
type draftBody struct {
	service rtid.Service
	prompt  []byte
	output  rtid.Tokens
	limit   time.Duration
}

// decodeDraft decodes the body of POST /v1/drafts. A refusal lists all findings.
func decodeDraft(body []byte, maxLimit time.Duration) (draftBody, *refusal) {
	var draft draftBody
	var prompt, limit string
	f := decodeFields(body)
	f.decodeServiceName(&draft.service)
	if f.decodeField("prompt", &prompt, "a string") && prompt == "" {
		f.addFinding("prompt", "is empty")
	}
	if f.decodeField("output", &draft.output, "a number of tokens") && (draft.output < 1 || draft.output > maxOutput) {
		f.addFinding("output", "is %d, want 1 to %d tokens", draft.output, maxOutput)
	}
	if f.decodeField("limit", &limit, `a duration such as "30s"`) {
		draft.limit = f.parseLimit(limit, maxLimit)
	}
	f.rejectUnknown()
	tooLong := rtid.Bytes(len(prompt)) > maxPrompt
	if tooLong {
		f.addFinding("prompt", "has %d bytes, want at most %d", len(prompt), maxPrompt)
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

// decodeService decodes the body of POST /v1/orders. A refusal lists all
// findings.
func decodeService(body []byte) (rtid.Service, *refusal) {
	var service rtid.Service
	f := decodeFields(body)
	f.decodeServiceName(&service)
	f.rejectUnknown()
	if len(f.findings) > 0 {
		return "", malformed(f.findings...)
	}
	return service, nil
}

// decodeServiceName decodes the field service and checks that it is a valid
// name.
func (f *fields) decodeServiceName(service *rtid.Service) {
	if f.decodeField("service", service, "the name of a service") && !rtid.ValidName(string(*service)) {
		f.addFinding("service", "is not a valid name")
	}
}

// parseLimit parses a caller's time limit, which must be at most maxLimit.
func (f *fields) parseLimit(text string, maxLimit time.Duration) time.Duration {
	limit, err := time.ParseDuration(text)
	switch {
	case err != nil:
		f.addFinding("limit", `want a duration such as "30s"`)
	case limit <= 0:
		f.addFinding("limit", "is %v, want over 0", limit)
	case limit > maxLimit:
		f.addFinding("limit", "is %v, want at most %v", limit, maxLimit)
	}
	return limit
}

// parseHeader returns the organisation named in the header of a request, and
// the findings about the header.
func parseHeader(r *http.Request) (rtid.Organisation, []rtapi.Finding) {
	var f fields
	if r.Header.Get("Idempotency-Key") != "" {
		f.addFinding("Idempotency-Key", idempotencyKeyRefusal)
	}
	name := r.Header.Get(headerOrganisation)
	switch {
	case name == "":
		f.addFinding(headerOrganisation, "header is missing")
	case !utf8.ValidString(name) || !rtid.ValidName(name):
		f.addFinding(headerOrganisation, "header is not a valid name")
	}
	return rtid.Organisation(name), f.findings
}
