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

// Caller sends requests of one organisation to one entry. It reads answers
// event by event and does not retry.
type Caller struct {
	Client       *http.Client
	Address      rtid.Address // caller address of an entry, or operator address of any process
	Organisation rtid.Organisation
}

// send sends a request and returns the response, whose body is still unread.
func (c Caller) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	url := "http://" + string(c.Address) + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Organisation", string(c.Organisation))
	return c.Client.Do(request)
}

// Call sends a request and decodes the response, which may be an error body.
func (c Caller) Call(ctx context.Context, method, path string, body []byte, reply any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return fmt.Errorf("%s %s: decode response with status %d: %w", method, path, response.StatusCode, err)
	}
	return nil
}

// Draft is what a caller has received of one draft.
type Draft struct {
	ID        string        // of the last start event
	FirstText time.Duration // from sending until the first text; 0 before it
	Duration  time.Duration // from sending until the end
	Text      []byte
	Ended     bool // an end event or a refusal was received
	Outcome   rtapi.Outcome
	Reason    rtapi.Reason
	Retry     bool
	Checksum  string // of the end event
}

// Draft sends a drafting request and reads its stream to the end. If onEvent is
// not nil, it is called after each event. If the stream breaks, Draft returns an
// error and what was received until then.
func (c Caller) Draft(ctx context.Context, request rtapi.DraftRequest, onEvent func(Draft)) (Draft, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Draft{}, fmt.Errorf("encode draft request: %w", err)
	}
	return c.readStream(ctx, http.MethodPost, "/v1/drafts", body, Draft{}, onEvent)
}

// Resume requests and reads the rest of a draft whose stream broke.
func (c Caller) Resume(ctx context.Context, received Draft, onEvent func(Draft)) (Draft, error) {
	path := fmt.Sprintf("/v1/drafts/%s?offset=%d", received.ID, len(received.Text))
	return c.readStream(ctx, http.MethodGet, path, nil, received, onEvent)
}

// readStream sends a request and applies the events of its answer to draft.
func (c Caller) readStream(ctx context.Context, method, path string, body []byte, draft Draft, onEvent func(Draft)) (Draft, error) {
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
			return draft, fmt.Errorf("%s: decode refusal with status %d: %w", method, response.StatusCode, err)
		}
		draft.Ended, draft.Duration = true, time.Since(start)
		draft.Outcome, draft.Reason, draft.Retry = refusal.Outcome, refusal.Reason, refusal.Retry
		return draft, nil
	}
	for !draft.Ended {
		var event rtapi.Event
		if err := decoder.Decode(&event); err != nil {
			return draft, fmt.Errorf("stream broke before the end event: %w", err)
		}
		draft.apply(event, time.Since(start))
		if onEvent != nil {
			onEvent(draft)
		}
	}
	return draft, nil
}

// apply updates the draft by one event.
func (d *Draft) apply(event rtapi.Event, elapsed time.Duration) {
	switch event.Event {
	case rtapi.EventStart:
		d.ID = event.ID
	case rtapi.EventText:
		if d.FirstText == 0 {
			d.FirstText = elapsed
		}
		d.Text = append(d.Text, event.Text...)
	case rtapi.EventEnd:
		d.Ended, d.Duration = true, elapsed
		d.Outcome, d.Reason, d.Retry, d.Checksum = event.Outcome, event.Reason, event.Retry, event.Checksum
	}
}
