package rtdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// caller sends requests of one organisation to one entry.
type caller struct {
	client       *http.Client
	entry        rtid.Address
	organisation rtid.Organisation
}

// send sends a request and returns its status and body.
func (c caller) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	url := "http://" + string(c.entry) + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set("Organisation", string(c.organisation))
	return c.client.Do(request)
}

// call sends a request and decodes its answer, which may be an error body.
func (c caller) call(ctx context.Context, method, path string, body []byte, reply any) error {
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

// draftResult is what a caller saw of one draft.
type draftResult struct {
	id      string
	first   time.Duration // until the first text
	whole   time.Duration // until the end event
	size    int64
	outcome rtapi.Outcome
	reason  rtapi.Reason
}

// draft sends a drafting request and reads its stream to the end.
func (c caller) draft(ctx context.Context, request rtapi.DraftRequest) (draftResult, error) {
	var result draftResult
	body, err := json.Marshal(request)
	if err != nil {
		return result, fmt.Errorf("encode draft: %w", err)
	}
	start := time.Now()
	response, err := c.send(ctx, http.MethodPost, "/v1/drafts", body)
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		var refusal rtapi.ErrorBody
		if err := decoder.Decode(&refusal); err != nil {
			return result, fmt.Errorf("draft: status %d: %w", response.StatusCode, err)
		}
		result.outcome, result.reason = refusal.Outcome, refusal.Reason
		return result, nil
	}
	for {
		var event rtapi.Event
		if err := decoder.Decode(&event); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return result, fmt.Errorf("draft: stream without its end: %w", err)
		}
		switch event.Event {
		case rtapi.EventStart:
			result.id = event.ID
		case rtapi.EventText:
			if result.first == 0 {
				result.first = time.Since(start)
			}
		case rtapi.EventEnd:
			result.whole = time.Since(start)
			result.size, result.outcome, result.reason = event.Size, event.Outcome, event.Reason
			return result, nil
		}
	}
}
