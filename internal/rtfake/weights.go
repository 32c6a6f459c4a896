package rtfake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Limits of the fake weight store.
const (
	weightReadRate  = 10 // reads per second of all clients together
	weightReadBurst = 10
	weightSize      = 64 << 10 // bytes per model
)

// WeightStore is a fake weight store that serves weights for every model name.
// The zero value is ready to use.
type WeightStore struct {
	MaxReadRate float64 // reads per second; 0 means weightReadRate, negative no limit

	mu      sync.Mutex
	limiter *rate.Limiter
	served  map[rtid.Model]int
	refused int
}

// ServeHTTP implements http.Handler.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	model, found := strings.CutPrefix(r.URL.Path, "/weights/")
	if !found || model == "" || r.Method != http.MethodGet {
		errorReply(http.StatusNotFound, "only GET /weights/{model} is supported").write(w)
		return
	}
	if !s.countRead(rtid.Model(model)) {
		errorReply(http.StatusTooManyRequests, "read rate over the limit of the weight store").write(w)
		return
	}
	// An error means that the client has disconnected.
	_, _ = w.Write(bytes.Repeat([]byte{1}, weightSize))
}

// countRead counts one read and reports whether the rate limit allows it.
func (s *WeightStore) countRead(model rtid.Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = newLimiter(s.MaxReadRate, weightReadRate, weightReadBurst)
		s.served = map[rtid.Model]int{}
	}
	if !s.limiter.Allow() {
		s.refused++
		return false
	}
	s.served[model]++
	return true
}

// Reads returns how many reads of a model were served, and how many reads of
// any model were refused because of the rate limit.
func (s *WeightStore) Reads(model rtid.Model) (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[model], s.refused
}

// WeightReader returns a function for EngineConfig.ReadWeights that reads from
// the weight store at address.
func WeightReader(client *http.Client, address rtid.Address) func(context.Context, rtid.Model) error {
	return func(ctx context.Context, model rtid.Model) error {
		url := "http://" + string(address) + "/weights/" + string(model)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("create request for weights: %w", err)
		}
		response, err := client.Do(request)
		if err != nil {
			return fmt.Errorf("read weights: %w", err)
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("read weights: got status %d, want 200", response.StatusCode)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return fmt.Errorf("read weights: %w", err)
		}
		return nil
	}
}
