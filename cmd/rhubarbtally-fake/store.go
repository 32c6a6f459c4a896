package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbtally/rhubarbtally/platform/rtstandin"
)

const (
	// copyInterval is the interval at which the store is copied, and maxCopyAge how
	// long the copies are kept.
	copyInterval = 500 * time.Millisecond
	maxCopyAge   = time.Minute
)

// datedCopy is a copy of the store with its time.
type datedCopy struct {
	at   time.Time
	copy rtstandin.Copy
}

// storeProcess is a store whose items are written from a file and that can be
// brought back from a copy.
type storeProcess struct {
	*rtstandin.Store
	file watchedFile

	mu     sync.Mutex
	copies []datedCopy // the oldest first
}

func newStoreProcess(items string) *storeProcess {
	return &storeProcess{Store: rtstandin.NewStore(), file: watchedFile{name: items}}
}

// ServeHTTP serves the calls that read the store, and POST /restore.
func (s *storeProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/restore" {
		s.Store.ServeHTTP(w, r)
		return
	}
	age, err := time.ParseDuration(r.URL.Query().Get("age"))
	if err != nil || age < 0 {
		http.Error(w, "age: want a duration such as 5s", http.StatusBadRequest)
		return
	}
	if !s.restore(age) {
		http.Error(w, fmt.Sprintf("no copy is %v old", age), http.StatusConflict)
	}
}

// restore brings the store back from the latest copy that is at least as old as age.
func (s *storeProcess) restore(age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.copies) - 1; i >= 0; i-- {
		if time.Since(s.copies[i].at) >= age {
			s.Restore(s.copies[i].copy)
			s.copies = s.copies[:i+1]
			return true
		}
	}
	return false
}

// run writes the items of the file after each change, and copies the store, until
// the context ends.
func (s *storeProcess) run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if content, changed := s.file.changed(); changed && s.write(content) {
			s.file.published = content
		}
		s.keepCopy(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// write writes the items that differ and removes those that the file lacks. It
// returns false if the file cannot be decoded, for example because it is incompletely
// written.
func (s *storeProcess) write(content []byte) bool {
	var items map[string]json.RawMessage
	if err := json.Unmarshal(content, &items); err != nil {
		return false
	}
	for _, key := range slices.Sorted(maps.Keys(items)) {
		if string(s.Get(key)) != string(items[key]) {
			s.Put(key, items[key])
		}
	}
	for _, key := range s.Keys() {
		if _, ok := items[key]; !ok {
			s.Put(key, nil)
		}
	}
	return true
}

func (s *storeProcess) keepCopy(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.copies); n > 0 && now.Sub(s.copies[n-1].at) < copyInterval {
		return
	}
	s.copies = append(s.copies, datedCopy{at: now, copy: s.Copy()})
	s.copies = slices.DeleteFunc(s.copies, func(c datedCopy) bool { return now.Sub(c.at) > maxCopyAge })
}
