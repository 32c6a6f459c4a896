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

func fail(w http.ResponseWriter, status int, format string, arguments ...any) {
	writeJSON(w, status, failure{Detail: fmt.Sprintf(format, arguments...)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the reader has gone.
	_ = json.NewEncoder(w).Encode(value)
}

// readJSON decodes the body of a request, or answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		fail(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	// The connection can be used again only if the body was read to its end.
	_, _ = io.Copy(io.Discard, body)
	return true
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
