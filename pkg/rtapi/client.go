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

// Pauses between tries of a Client.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// maxReply bounds a body that is not a stream. Results of orders are at most
// 4 MiB, in base64.
const maxReply = 8 << 20

// headerOrganisation names the caller's organisation.
const headerOrganisation = "Organisation"

var errNoEntries = errors.New("client has no entries")

// Error is an answer of the system that is not a success.
type Error struct {
	Status int // of HTTP; 200 for a stream that ended without success
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

// Client calls the entries of one deployment for one organisation. It is safe
// for concurrent use once its fields are set.
type Client struct {
	Entries      []string // base URLs such as "http://10.0.0.1:8080", at least one; tried in turn
	Organisation string
	HTTP         *http.Client // http.DefaultClient if nil
}

// try counts the tries of one call, each at the next entry.
type try struct {
	count int
	pause time.Duration
}

// wait pauses before the next try. It returns the context's error when the
// context has ended.
func (t *try) wait(ctx context.Context) error {
	t.count++
	t.pause = min(max(firstPause, 2*t.pause), maxPause)
	timer := time.NewTimer(t.pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// send sends one request to the entry of a try. The error is an *Error if the
// system answered with one, else the request may have arrived or not.
func (c *Client) send(ctx context.Context, t try, method, path string, body []byte) (*http.Response, error) {
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
		return nil, fmt.Errorf("%s %s: status %d: %w", method, path, response.StatusCode, err)
	}
	return nil, failure
}

// call sends one request and decodes the answer.
func (c *Client) call(ctx context.Context, t try, method, path string, body []byte, reply any) error {
	response, err := c.send(ctx, t, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return decode(response.Body, reply)
}

func decode(body io.Reader, reply any) error {
	if err := json.NewDecoder(io.LimitReader(body, maxReply)).Decode(reply); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// maxIDs bounds the ids that Order obtains for one order. Each further one is
// obtained only after the order did not run under the one before.
const maxIDs = 3

// Order runs an order at most once and returns its result. Limit is the time
// limit of each try. A lost answer is asked for again with the same id, until
// ctx ends.
//
// If the outcome is not Done the error is an *Error, whose body has the id, the
// outcome and whether another try is safe. If ctx ends first, the outcome is
// Unknown and OrderStatus can still find out.
func (c *Client) Order(ctx context.Context, service string, body []byte, limit time.Duration) (Status, error) {
	var t try
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

// orderID obtains an id, which runs nothing and can be repeated.
func (c *Client) orderID(ctx context.Context, t *try, service string) (string, error) {
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
func (c *Client) putOrder(ctx context.Context, t *try, id string, body []byte, limit time.Duration) (Status, error) {
	path := "/v1/orders/" + url.PathEscape(id) + "?limit=" + url.QueryEscape(limit.String())
	sent := false // a try may have reached the home
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
			// An entry's own refusal names no id and says nothing about
			// earlier tries; the home's word does.
			return Status{}, err
		}
		sent = sent || !answered || failure.Body.Outcome == Unknown
		if t.wait(ctx) != nil {
			return Status{}, unknownOrder(id, err)
		}
	}
}

// unknownOrder returns the error of an order without a known outcome.
func unknownOrder(id string, cause error) error {
	return fmt.Errorf("%w; last try: %w", &Error{Body: ErrorBody{
		ID:      id,
		Outcome: Unknown,
		Reason:  ReasonUnreachable,
		Detail:  "no outcome before the context ended; ask again with the same id",
		Retry:   true,
	}}, cause)
}

// repeatable reports whether a call that runs nothing may succeed later.
func repeatable(err error) bool {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Body.Retry && failure.Body.Reason != ReasonNotFound
	}
	return !errors.Is(err, errNoEntries)
}

// OrderStatus returns what the home of an order knows about it.
func (c *Client) OrderStatus(ctx context.Context, id string) (Status, error) {
	return c.askOrder(ctx, http.MethodGet, id)
}

// CancelOrder prevents an order that has not started. The outcome is NotRun
// if it was prevented.
func (c *Client) CancelOrder(ctx context.Context, id string) (Status, error) {
	return c.askOrder(ctx, http.MethodDelete, id)
}

// askOrder repeats a call without side effect until it is answered.
func (c *Client) askOrder(ctx context.Context, method, id string) (Status, error) {
	var t try
	for {
		var status Status
		err := c.call(ctx, t, method, "/v1/orders/"+url.PathEscape(id), nil, &status)
		if err == nil || !repeatable(err) || t.wait(ctx) != nil {
			return status, err
		}
	}
}
