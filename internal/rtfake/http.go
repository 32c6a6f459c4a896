package rtfake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"golang.org/x/time/rate"

	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// maxBody bounds the request bodies that a stand-in reads: a prompt of 8 MiB
// in base64 with its prefix and fields.
const maxBody = 32 << 20

// Serve serves handler until the context ends, and then closes the listener
// and all connections.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	serving := rttask.Start(ctx, "serve", func(context.Context) error {
		return server.Serve(listener)
	})
	var err error
	select {
	case err = <-serving.Done():
		err = errors.Join(err, server.Close())
	case <-ctx.Done():
		err = errors.Join(server.Close(), closedIsNil(<-serving.Done()))
	}
	if err != nil {
		return fmt.Errorf("serve %v: %w", listener.Addr(), err)
	}
	return nil
}

func closedIsNil(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// failure is the body of every error answer but rttarget.Conflict.
type failure struct {
	Detail string `json:"detail"`
}

// reply is an answer that is written after all locks are released, because
// the network may block the writer.
type reply struct {
	status int
	value  any
}

// done is the answer of a request that has no result.
var done = reply{http.StatusOK, struct{}{}}

func ok(value any) reply {
	return reply{http.StatusOK, value}
}

func failed(status int, format string, arguments ...any) reply {
	return reply{status, failure{Detail: fmt.Sprintf(format, arguments...)}}
}

// failedBody is the answer to a body that cannot be decoded.
func failedBody(err error) reply {
	return failed(http.StatusBadRequest, "body: %v", err)
}

func (a reply) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	// An error means that the reader has gone.
	_ = json.NewEncoder(w).Encode(a.value)
}

// handle lets a function answer the requests of a pattern.
func handle(mux *http.ServeMux, pattern string, answer func(r *http.Request) reply) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		answer(r).write(w)
	})
}

// readJSON decodes the body of a request.
func readJSON(r *http.Request, value any) error {
	body := io.LimitReader(r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		return err
	}
	// The server notices that the client has gone only after the whole body
	// was read.
	_, err := io.Copy(io.Discard, body)
	return err
}

// newLimiter returns a rate limiter; 0 takes the standard rate, a negative
// rate is no limit.
func newLimiter(perSecond, standard float64, burst int) *rate.Limiter {
	switch {
	case perSecond < 0:
		return rate.NewLimiter(rate.Inf, 0)
	case perSecond == 0:
		perSecond = standard
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}
