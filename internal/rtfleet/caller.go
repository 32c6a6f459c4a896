package rtfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// Caller sends requests of one organisation to one entry, and sees each answer
// as it comes, without retries.
type Caller struct {
	Client       *http.Client
	Address      rtid.Address // or the operators' address of any process
	Organisation rtid.Organisation
}

// send sends a request and returns its status and body.
func (c Caller) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	url := "http://" + string(c.Address) + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Organisation", string(c.Organisation))
	return c.Client.Do(request)
}

// Call sends a request and decodes its answer, which may be an error body.
func (c Caller) Call(ctx context.Context, method, path string, body []byte, reply any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return fmt.Errorf("%s %s: status %d: %w", method, path, response.StatusCode, err)
	}
	return nil
}

// Draft is what a caller has seen of one draft.
type Draft struct {
	ID        string        // of the attempt that answered last
	FirstText time.Duration // until the first text; 0 before it
	Duration  time.Duration // until the end
	Text      []byte
	Ended     bool // by an end event, or refused before the stream
	Outcome   rtapi.Outcome
	Reason    rtapi.Reason
	Retry     bool
	Checksum  string // checksum of the end event
}

// Draft sends a drafting request and reads its stream to the end. See, if not
// nil, is called after each event. A stream that breaks returns an error and
// what was seen.
func (c Caller) Draft(ctx context.Context, request rtapi.DraftRequest, see func(Draft)) (Draft, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Draft{}, fmt.Errorf("encode draft: %w", err)
	}
	return c.stream(ctx, http.MethodPost, "/v1/drafts", body, Draft{}, see)
}

// Resume reads the rest of a draft whose stream broke.
func (c Caller) Resume(ctx context.Context, seen Draft, see func(Draft)) (Draft, error) {
	path := fmt.Sprintf("/v1/drafts/%s?offset=%d", seen.ID, len(seen.Text))
	return c.stream(ctx, http.MethodGet, path, nil, seen, see)
}

// stream sends a request and reads the events of its answer.
func (c Caller) stream(ctx context.Context, method, path string, body []byte, draft Draft, see func(Draft)) (Draft, error) {
	start := time.Now()
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return draft, err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		var refusal rtapi.ErrorBody
		if err := decoder.Decode(&refusal); err != nil {
			return draft, fmt.Errorf("%s: status %d: %w", method, response.StatusCode, err)
		}
		draft.Ended, draft.Duration = true, time.Since(start)
		draft.Outcome, draft.Reason, draft.Retry = refusal.Outcome, refusal.Reason, refusal.Retry
		return draft, nil
	}
	for !draft.Ended {
		var event rtapi.Event
		if err := decoder.Decode(&event); err != nil {
			return draft, fmt.Errorf("stream without its end: %w", err)
		}
		draft.add(event, time.Since(start))
		if see != nil {
			see(draft)
		}
	}
	return draft, nil
}

// add takes in one event.
func (d *Draft) add(event rtapi.Event, age time.Duration) {
	switch event.Event {
	case rtapi.EventStart:
		d.ID = event.ID
	case rtapi.EventText:
		if d.FirstText == 0 {
			d.FirstText = age
		}
		d.Text = append(d.Text, event.Text...)
	case rtapi.EventEnd:
		d.Ended, d.Duration = true, age
		d.Outcome, d.Reason, d.Retry, d.Checksum = event.Outcome, event.Reason, event.Retry, event.Checksum
	}
}
