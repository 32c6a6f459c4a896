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

// maxBody bounds the request bodies that a fake reads: a prompt of 8 MiB in
// base64 with its prefix and fields.
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
		err = errors.Join(server.Close(), ignoreServerClosed(<-serving.Done()))
	}
	if err != nil {
		return fmt.Errorf("serve %v: %w", listener.Addr(), err)
	}
	return nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// errorBody is the body of every error reply except rttarget.Conflict.
type errorBody struct {
	Detail string `json:"detail"`
}

// reply is a status and a JSON body. Handlers return it so that it is written
// after all locks are released, because the network may block the writer.
type reply struct {
	status int
	value  any
}

// emptyReply is the reply to a successful request without a result.
var emptyReply = reply{http.StatusOK, struct{}{}}

func okReply(value any) reply {
	return reply{http.StatusOK, value}
}

func errorReply(status int, format string, arguments ...any) reply {
	return reply{status, errorBody{Detail: fmt.Sprintf(format, arguments...)}}
}

// bodyErrorReply is the reply to a request whose body cannot be decoded.
func bodyErrorReply(err error) reply {
	return errorReply(http.StatusBadRequest, "request body: %v", err)
}

func (a reply) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(a.value)
}

// handle registers a function that returns the reply to requests of a pattern.
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
	// The server notices a disconnected client only after the whole body was
	// read.
	_, err := io.Copy(io.Discard, body)
	return err
}

// newLimiter returns a rate limiter. A rate of 0 means the default rate, a
// negative one means no limit.
func newLimiter(perSecond, defaultRate float64, burst int) *rate.Limiter {
	switch {
	case perSecond < 0:
		return rate.NewLimiter(rate.Inf, 0)
	case perSecond == 0:
		perSecond = defaultRate
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}
