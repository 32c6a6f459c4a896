package rtapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

// Delays between the attempts of a call.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// maxReplySize limits a response body that is not a stream, in bytes. Results of
// orders are at most 4 MiB before their base64 encoding.
const maxReplySize = 8 << 20

// headerOrganisation is the header with the caller's organisation.
const headerOrganisation = "Organisation"

var errNoEntries = errors.New("client has no entries, want at least one URL in Client.Entries")

// Error is an error response of the system, or a stream that ended with another
// outcome than Done.
type Error struct {
	Status int // HTTP status; 200 for a stream that ended without success
	Body   ErrorBody
}

func (e *Error) Error() string {
	text := fmt.Sprintf("%v: %s", e.Body.Outcome, e.Body.Reason)
	if e.Body.Detail != "" {
		text += ": " + e.Body.Detail
	}
	for _, finding := range e.Body.Findings {
		text += "; " + finding.Field + ": " + finding.Text
	}
	return text
}

// Client calls the entries of one deployment on behalf of one organisation. It is
// safe for concurrent use after its fields are set.
type Client struct {
	Entries      []string // base URLs such as "http://10.0.0.1:8080", at least one; each attempt uses the next
	Organisation string
	HTTP         *http.Client // http.DefaultClient if nil
}

// retryState counts the attempts of one call. Each attempt uses the next entry.
type retryState struct {
	count int
	delay time.Duration
}

// wait sleeps before the next attempt, with exponential backoff. It returns the
// context's error if the context has ended.
func (t *retryState) wait(ctx context.Context) error {
	t.count++
	t.delay = min(max(minRetryDelay, 2*t.delay), maxRetryDelay)
	timer := time.NewTimer(t.delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// send sends one request to the entry of the current attempt. The error is an
// *Error if the system returned an error response. After any other error the
// request may have arrived or not.
func (c *Client) send(ctx context.Context, t retryState, method, path string, body []byte) (*http.Response, error) {
	if len(c.Entries) == 0 {
		return nil, errNoEntries
	}
	address := c.Entries[t.count%len(c.Entries)] + path
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set(headerOrganisation, c.Organisation)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	failure := &Error{Status: response.StatusCode}
	if err := decode(response.Body, &failure.Body); err != nil {
		return nil, fmt.Errorf("%s %s: status %d without a valid error body: %w", method, path, response.StatusCode, err)
	}
	return nil, failure
}

// call sends one request and decodes the response into reply.
func (c *Client) call(ctx context.Context, t retryState, method, path string, body []byte, reply any) error {
	response, err := c.send(ctx, t, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response.Body, reply)
}

func decode(body io.Reader, reply any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxReplySize)).Decode(reply); err != nil {
		return fmt.Errorf("decode response body: %w", err)
	}
	return nil
}

// maxIDs limits the IDs that Order obtains for one order. Another ID is obtained
// only after the order did not run under the previous one.
const maxIDs = 3

// Order runs an order at most once and returns its result. The time limit
// applies to each attempt. After a lost response the order is sent again with
// the same ID, until ctx ends.
//
// If the outcome is not Done, the error is an *Error whose body has the ID, the
// outcome and whether a retry is safe. If ctx ends first, the outcome is Unknown
// and OrderStatus can return it later.
func (c *Client) Order(ctx context.Context, service string, body []byte, limit time.Duration) (Status, error) {
	var t retryState
	for ids := 1; ; ids++ {
		id, err := c.orderID(ctx, &t, service)
		if err != nil {
			return Status{}, err
		}
		status, err := c.putOrder(ctx, &t, id, body, limit)
		var failure *Error
		notRun := errors.As(err, &failure) && failure.Body.Outcome == NotRun && failure.Body.Retry
		if !notRun || ids == maxIDs || t.wait(ctx) != nil {
			return status, err
		}
	}
}

// orderID obtains an ID for an order. It runs nothing, so it can be repeated.
func (c *Client) orderID(ctx context.Context, t *retryState, service string) (string, error) {
	body, err := json.Marshal(OrderRequest{Service: service})
	if err != nil {
		return "", fmt.Errorf("encode request: %w", err)
	}
	for {
		var id OrderID
		err := c.call(ctx, *t, http.MethodPost, "/v1/orders", body, &id)
		if err == nil || !repeatable(err) {
			return id.ID, err
		}
		if t.wait(ctx) != nil {
			return "", err
		}
	}
}

// putOrder sends an order until its outcome is known or ctx ends.
func (c *Client) putOrder(ctx context.Context, t *retryState, id string, body []byte, limit time.Duration) (Status, error) {
	path := "/v1/orders/" + url.PathEscape(id) + "?limit=" + url.QueryEscape(limit.String())
	sent := false // an earlier attempt may have reached the home
	for {
		var status Status
		err := c.call(ctx, *t, http.MethodPut, path, body, &status)
		var failure *Error
		answered := errors.As(err, &failure)
		switch {
		case err == nil:
			return status, nil
		case errors.Is(err, errNoEntries):
			return Status{}, err
		case answered && failure.Body.Outcome == Unknown && !failure.Body.Retry:
			return Status{}, err
		case answered && failure.Body.Outcome != Unknown && (!sent || failure.Body.ID != ""):
			// A refusal by the entry has no ID and says nothing about earlier
			// attempts; a refusal by the home has the ID and is final.
			return Status{}, err
		}
		sent = sent || !answered || failure.Body.Outcome == Unknown
		if t.wait(ctx) != nil {
			return Status{}, unknownOrder(id, err)
		}
	}
}

// unknownOrder returns the error for an order whose outcome is not known.
func unknownOrder(id string, cause error) error {
	return fmt.Errorf("%w; last attempt: %w", &Error{Body: ErrorBody{
		ID:      id,
		Outcome: Unknown,
		Reason:  ReasonUnreachable,
		Detail:  "no outcome before the context ended; ask again with the same id",
		Retry:   true,
	}}, cause)
}

// repeatable reports whether a call without side effects may succeed if it is
// repeated.
func repeatable(err error) bool {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Body.Retry && failure.Body.Reason != ReasonNotFound
	}
	return !errors.Is(err, errNoEntries)
}

// OrderStatus returns the status of an order as its home reports it.
func (c *Client) OrderStatus(ctx context.Context, id string) (Status, error) {
	return c.callOrder(ctx, http.MethodGet, id)
}

// CancelOrder cancels an order that has not started. The outcome is NotRun if
// it was cancelled.
func (c *Client) CancelOrder(ctx context.Context, id string) (Status, error) {
	return c.callOrder(ctx, http.MethodDelete, id)
}

// callOrder repeats a call about an order until it gets a response. The call must
// be safe to repeat.
func (c *Client) callOrder(ctx context.Context, method, id string) (Status, error) {
	var t retryState
	for {
		var status Status
		err := c.call(ctx, t, method, "/v1/orders/"+url.PathEscape(id), nil, &status)
		if err == nil || !repeatable(err) || t.wait(ctx) != nil {
			return status, err
		}
	}
}
