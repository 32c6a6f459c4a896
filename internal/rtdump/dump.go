// Package rtdump collects the state of the parts of a process and serves it over
// HTTP as JSON.
package rtdump

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Registry holds a function for each part of a process that returns its state.
// The zero value is ready to use.
type Registry struct {
	mu    sync.Mutex
	parts map[string]func() any
}

// Add registers the function that returns the state of a part. The function must
// return a copy, because the result is encoded without locks.
func (r *Registry) Add(part string, state func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts == nil {
		r.parts = make(map[string]func() any)
	}
	r.parts[part] = state
}

// Collect returns the state of all parts, by the name of the part.
func (r *Registry) Collect() map[string]any {
	r.mu.Lock()
	parts := make(map[string]func() any, len(r.parts))
	for name, state := range r.parts {
		parts[name] = state
	}
	r.mu.Unlock()
	result := make(map[string]any, len(parts))
	for name, state := range parts {
		result[name] = state()
	}
	return result
}

// ServeHTTP writes the state of all parts, sorted by name.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// Encode fails if the client disconnects, and then there is nobody to report
	// the error to.
	_ = encoder.Encode(r.Collect())
}
