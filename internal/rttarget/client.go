package rttarget

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// maxReplySize limits the body of a response that is not a stream, in bytes.
const maxReplySize = 4 << 20

// maxStatus is the highest status of a valid response (RFC 9110, section 15).
const maxStatus = 599

// StatusError is a response of a target with a status other than 200.
type StatusError struct {
	Status int
	Detail string
	Fence  rtid.Incarnation // highest fencing number that the target has seen, if it reported a conflict
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("target returned status %d, want 200: %s", e.Status, e.Detail)
}

// Refused reports whether the target rejected the request without executing it.
// A status of 500 or above is a failure of the target, which may have executed
// the request before it failed.
func (e *StatusError) Refused() bool {
	return e.Status >= http.StatusBadRequest && e.Status < http.StatusInternalServerError
}

// targetClient sends requests to one target.
type targetClient struct {
	client  *http.Client
	address rtid.Address
}

// send sends a request. It returns the response if its status is 200, otherwise
// a StatusError or the error of the transport.
func (c targetClient) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.address)+path, reader)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		// Not a valid response, so it does not say whether the request has run.
		return nil, fmt.Errorf("%s %s: got status %d, want 100 to %d", method, path, response.StatusCode, maxStatus)
	}
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxReplySize))
	failure := &StatusError{Status: response.StatusCode, Detail: string(bytes.TrimSpace(detail))}
	var conflict Conflict
	if response.StatusCode == http.StatusConflict && json.Unmarshal(detail, &conflict) == nil {
		failure.Fence = conflict.Fence
	}
	return nil, failure
}

// call sends a request and decodes the response body into reply, unless reply is
// nil.
func (c targetClient) call(ctx context.Context, method, path string, body, reply any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplySize)).Decode(reply); err != nil {
		return fmt.Errorf("%s %s: decode response: %w", method, path, err)
	}
	return nil
}

// Engine is the client of one model engine.
type Engine struct {
	targetClient
}

// NewEngine returns the client of the engine at address.
func NewEngine(client *http.Client, address rtid.Address) *Engine {
	return &Engine{targetClient{client, address}}
}

// Generate starts a generation. A StatusError means that it did not start.
func (e *Engine) Generate(ctx context.Context, request GenerateRequest) (*Stream, error) {
	response, err := e.send(ctx, http.MethodPost, "/generate", request) //nolint:bodyclose // Stream.Close closes the body
	if err != nil {
		return nil, err
	}
	return &Stream{body: response.Body, decoder: json.NewDecoder(response.Body)}, nil
}

// Cancel stops a generation and frees its memory. It succeeds for an unknown ID.
func (e *Engine) Cancel(ctx context.Context, id rtid.Request) error {
	return e.call(ctx, http.MethodPost, "/cancel/"+url.PathEscape(string(id)), nil, nil)
}

// Streams lists the streams, holds and exports that use memory at the engine.
func (e *Engine) Streams(ctx context.Context) ([]MemoryUse, error) {
	var uses []MemoryUse
	err := e.call(ctx, http.MethodGet, "/streams", nil, &uses)
	return uses, err
}

// Load returns the load report of the engine, which lags behind its state.
func (e *Engine) Load(ctx context.Context) (LoadReport, error) {
	var load LoadReport
	err := e.call(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

// Events returns the cache events after a sequence number.
func (e *Engine) Events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := e.call(ctx, http.MethodGet, fmt.Sprintf("/events?after=%d", after), nil, &events)
	return events, err
}

// Hold reserves KV memory for a prompt that runs at another engine. Repeating
// it for the same ID succeeds.
func (e *Engine) Hold(ctx context.Context, request HoldRequest) error {
	return e.call(ctx, http.MethodPost, "/holds", request, nil)
}

// Unhold frees a hold. It succeeds for an unknown ID.
func (e *Engine) Unhold(ctx context.Context, id rtid.Request) error {
	return e.call(ctx, http.MethodDelete, "/holds/"+url.PathEscape(string(id)), nil, nil)
}

// DeleteExport frees the memory of an export. It succeeds for an unknown ID.
func (e *Engine) DeleteExport(ctx context.Context, id rtid.Request) error {
	return e.call(ctx, http.MethodDelete, "/exports/"+url.PathEscape(string(id)), nil, nil)
}

// Command loads a model, adapter or version, or changes the engine's role.
func (e *Engine) Command(ctx context.Context, command Command) error {
	return e.call(ctx, http.MethodPost, "/order", command, nil)
}

// Stream is the answer of a running generation.
type Stream struct {
	body    io.ReadCloser
	decoder *json.Decoder
}

// Next returns the next chunk. If the stream stops before a chunk with End set,
// it returns io.ErrUnexpectedEOF or the error of the transport.
func (s *Stream) Next() (Chunk, error) {
	var chunk Chunk
	err := s.decoder.Decode(&chunk)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return chunk, err
}

// Close closes the response body. It does not stop the generation; Engine.Cancel
// does.
func (s *Stream) Close() error {
	return s.body.Close()
}

// Service is the client of one plain service.
type Service struct {
	targetClient
}

// NewService returns the client of the plain service at address.
func NewService(client *http.Client, address rtid.Address) *Service {
	return &Service{targetClient{client, address}}
}

// Run sends a request that must not be executed twice. A StatusError that is
// Refused means that it was not executed. With any other error it may have
// been.
func (s *Service) Run(ctx context.Context, request RunRequest) (RunReply, error) {
	var reply RunReply
	err := s.call(ctx, http.MethodPost, "/run", request, &reply)
	return reply, err
}

// Load returns the load report of the service, which lags behind its state.
func (s *Service) Load(ctx context.Context) (LoadReport, error) {
	var load LoadReport
	err := s.call(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}
