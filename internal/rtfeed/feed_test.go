package rtfeed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/rhubarbtally/rhubarbtally/internal/rtcatalog"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
)

// keyDecoder makes a target of each item. Keys with the prefix t are leased.
type keyDecoder struct{}

func (keyDecoder) Kind(key string) Kind {
	if strings.HasPrefix(key, "t") {
		return KindLeased
	}
	return KindOther
}

func (keyDecoder) Supersedes(_, _ Item) bool { return true }
func (keyDecoder) Later(_, _ Item) bool      { return false }

// number returns a revision of the only era of the tests.
func number(n uint64) rtid.StoreRevision { return rtid.StoreRevision{Number: n} }

func (keyDecoder) View(state State, _ *rtcatalog.View) *rtcatalog.View {
	var instances []*rtcatalog.Instance
	for key := range state.Items {
		instances = append(instances, &rtcatalog.Instance{ID: rtid.Target(key), Service: "work", Address: rtid.Address(key)})
	}
	return rtcatalog.NewView(state.Revision, nil, nil, instances)
}

// fakeStore is a store that keeps the history of its changes.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]Item
	changes  []Change
	all      []Change // changes, and those dropped from the history
	floor    uint64   // changes up to this revision were dropped
	revision uint64
	down     bool
	noWait   bool // a watch without changes returns at once
	changed  chan struct{}
	calls    int
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: make(map[string]Item), changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := Item{Key: key, Value: []byte(value), Revision: number(s.revision)}
	s.items[key] = item
	s.record(Change{Item: item})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(Change{Item: Item{Key: key, Revision: number(s.revision)}, Removed: true})
}

func (s *fakeStore) record(change Change) {
	s.changes = append(s.changes, change)
	s.all = append(s.all, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// callCount returns the number of calls so far.
func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// dropHistory makes watches from earlier revisions fail with ErrHistoryGone.
func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.revision
	s.changes = nil
}

// keysAt returns the keys of the items that the store held at a revision.
func (s *fakeStore) keysAt(revision uint64) string {
	held := make(map[string]bool)
	for _, change := range s.all {
		if change.Revision.Number <= revision {
			held[change.Key] = true
			if change.Removed {
				delete(held, change.Key)
			}
		}
	}
	return strings.Join(slices.Sorted(maps.Keys(held)), " ")
}

const fakePageSize = 2

func (s *fakeStore) Page(_ context.Context, after string) ([]Item, bool, rtid.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, false, rtid.StoreRevision{}, ErrBusy
	}
	keys := slices.Sorted(maps.Keys(s.items))
	keys = slices.DeleteFunc(keys, func(key string) bool { return key <= after })
	more := len(keys) > fakePageSize
	var items []Item
	for _, key := range keys[:min(len(keys), fakePageSize)] {
		items = append(items, s.items[key])
	}
	return items, more, number(s.revision), nil
}

func (s *fakeStore) Watch(ctx context.Context, after rtid.StoreRevision, wait time.Duration) ([]Change, rtid.StoreRevision, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.calls++
		down, floor, at, changed := s.down, s.floor, s.revision, s.changed
		var changes []Change
		for _, change := range s.changes {
			if change.Revision.After(after) {
				changes = append(changes, change)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return nil, rtid.StoreRevision{}, errors.New("refused")
		case after.Number < floor:
			return nil, rtid.StoreRevision{}, ErrHistoryGone
		case len(changes) > 0 || s.noWait:
			return changes, number(at), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, number(at), nil
		case <-ctx.Done():
			return nil, rtid.StoreRevision{}, ctx.Err()
		}
	}
}

// keys returns the keys of the items in a feed's state.
func keys(f *Feed) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(slices.Sorted(maps.Keys(f.state.Items)), " ")
}

// withFeed runs a test in virtual time with a feed that has read a store of
// three items.
func withFeed(t *testing.T, test func(t *testing.T, store *fakeStore, feed *Feed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("config", "1")
		store.put("t1", "")
		store.put("t2", "")
		feed := New(store, keyDecoder{}, logr.Discard())
		task := rttask.Start(t.Context(), "feed", feed.Run)
		defer func() {
			if err := task.Stop(); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(time.Second)
		test(t, store, feed)
	})
}

// Guards against changes that take effect later than the published limit of 2 s
// while the store is available.
func TestFollows(t *testing.T) {
	withFeed(t, func(t *testing.T, store *fakeStore, feed *Feed) {
		store.put("t3", "")
		store.remove("t1")
		time.Sleep(600 * time.Millisecond)
		if got := keys(feed); got != "config t2 t3" {
			t.Errorf("items %q, want config t2 t3", got)
		}
	})
}

// Guards against live targets that are removed because their leases expired
// while they could not reach the store, and against removed targets that stay in
// use. After an outage, the store removes the items of leases that expired
// during it.
func TestReturnOfTheStore(t *testing.T) {
	tests := []struct {
		name   string
		outage time.Duration
		events func(store *fakeStore) // after the end of the outage
		after  time.Duration
		want   string
	}{
		{"lease expired and item written again", 4 * time.Second, func(s *fakeStore) {
			s.remove("t1")
			time.Sleep(1500 * time.Millisecond)
			s.put("t1", "")
		}, 300 * time.Millisecond, "config t1 t2"},
		{"lease expired, item not written again yet", 4 * time.Second, func(s *fakeStore) { s.remove("t1") }, time.Second, "config t1 t2"},
		{"lease expired for good", 4 * time.Second, func(s *fakeStore) { s.remove("t1") }, 3 * time.Second, "config t2"},
		{"removed at the end of the recovery time", 4 * time.Second, func(s *fakeStore) {
			time.Sleep(2 * time.Second)
			s.remove("t1")
		}, 1500 * time.Millisecond, "config t2"},
		{"removed after the recovery time", 4 * time.Second, func(s *fakeStore) {
			time.Sleep(4 * time.Second)
			s.remove("t1")
		}, time.Second, "config t2"},
		{"removed without an outage", 0, func(s *fakeStore) { s.remove("t1") }, time.Second, "config t2"},
		{"removal of the configuration needs no confirmation", 4 * time.Second, func(s *fakeStore) { s.remove("config") }, time.Second, "t1 t2"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFeed(t, func(t *testing.T, store *fakeStore, feed *Feed) {
				if test.outage > 0 {
					store.setDown(true)
					time.Sleep(test.outage)
					store.setDown(false)
				}
				test.events(store)
				time.Sleep(test.after)
				if got := keys(feed); got != test.want {
					t.Errorf("items %q, want %q", got, test.want)
				}
			})
		})
	}
}

// Guards against changes that are missed when the store drops its history during
// an outage.
func TestHistoryLost(t *testing.T) {
	withFeed(t, func(t *testing.T, store *fakeStore, feed *Feed) {
		store.setDown(true)
		time.Sleep(700 * time.Millisecond)
		store.remove("t1")
		store.put("t9", "")
		store.put("config", "2")
		store.dropHistory()
		store.setDown(false)
		time.Sleep(4 * time.Second)
		if got := keys(feed); got != "config t2 t9" {
			t.Errorf("items %q, want config t2 t9", got)
		}
	})
}

// Guards against a process that calls the store although it is not a reader, and
// against one that applies no updates while it is not a reader or after it has
// become one again.
func TestNoReader(t *testing.T) {
	withFeed(t, func(t *testing.T, store *fakeStore, feed *Feed) {
		feed.SetReader(false)
		time.Sleep(3 * time.Second)
		before := store.callCount()
		store.put("t3", "")
		time.Sleep(10 * time.Second)
		if calls := store.callCount(); calls != before {
			t.Errorf("%d calls by a process that is not a reader, want 0", calls-before)
		}
		other := New(store, keyDecoder{}, logr.Discard())
		if err := other.readAll(t.Context()); err != nil {
			t.Fatal(err)
		}
		feed.ApplyPeerDelta(other.Delta(feed.Revision()), "other")
		if got := keys(feed); got != "config t1 t2 t3" {
			t.Errorf("items %q after a delta, want config t1 t2 t3", got)
		}
		feed.SetReader(true)
		store.remove("t3")
		time.Sleep(time.Second)
		if got := keys(feed); got != "config t1 t2" {
			t.Errorf("items %q as a reader again, want config t1 t2", got)
		}
	})
}

// Guards against a value that reverts to an older one. After a read of several
// pages, the watch returns changes again that a later page already included.
func TestRepeatedChanges(t *testing.T) {
	var state State
	steps := []struct {
		change Change
		want   string // value of the item; "none" if there is none
	}{
		{Change{Item: Item{Key: "config", Value: []byte("v7"), Revision: number(7)}}, "v7"},
		{Change{Item: Item{Key: "config", Value: []byte("v6"), Revision: number(6)}}, "v7"},
		{Change{Item: Item{Key: "config", Revision: number(5)}, Removed: true}, "v7"},
		{Change{Item: Item{Key: "config", Value: []byte("v7"), Revision: number(7)}}, "v7"},
		{Change{Item: Item{Key: "config", Value: []byte("v8"), Revision: number(8)}}, "v8"},
		{Change{Item: Item{Key: "config", Revision: number(9)}, Removed: true}, "none"},
	}
	for i, step := range steps {
		state.Apply(step.change)
		got := "none"
		if state.Has("config") {
			got = string(state.Items["config"].Value)
		}
		if got != step.want {
			t.Errorf("step %d: value %s, want %s", i, got, step.want)
		}
	}
}

// Guards against a removed target that is restored by the delta of a peer at a
// lower revision, such as a peer that was partitioned or paused.
func TestOlderState(t *testing.T) {
	feed := New(newFakeStore(), keyDecoder{}, logr.Discard())
	item := Change{Item: Item{Key: "t1", Revision: number(3)}}
	feed.ApplyPeerDelta(Delta{Revision: number(3), Full: true, Changes: []Change{item}}, "peer")
	feed.ApplyPeerDelta(Delta{Revision: number(4), Changes: []Change{{Item: Item{Key: "t1", Revision: number(4)}, Removed: true}}}, "peer")
	for _, full := range []bool{true, false} {
		feed.ApplyPeerDelta(Delta{Revision: number(3), Full: full, Changes: []Change{item}}, "late peer")
		if got := keys(feed); got != "" || feed.Revision() != number(4) {
			t.Errorf("items %q at revision %v after an older delta, want none at 4", got, feed.Revision())
		}
	}
}

// Guards against a target that had left and gets requests again, because the process
// learned of the leave from a full read in which a missing entry may also be late, and
// the store then returned from a copy once more. An entry that the first copy had lost
// may be that of a live target and is followed.
func TestLeaveInFullReadDuringRecovery(t *testing.T) {
	const entry = 3 // the revision of the entry in all eras
	tests := []struct {
		name   string
		copied bool // the first copy has the entry
		want   string
	}{
		{"left after the return", true, ""},
		{"lost by the copy", false, "t1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := New(newFakeStore(), keyDecoder{}, logr.Discard())
				fullRead := func(era, revision uint64, has bool) {
					delta := Delta{Revision: rtid.StoreRevision{Era: era, Number: revision}, Full: true}
					if has {
						item := Item{Key: "t1", Revision: rtid.StoreRevision{Era: era, Number: entry}}
						delta.Changes = []Change{{Item: item}}
					}
					feed.ApplyPeerDelta(delta, "peer")
				}
				fullRead(1, 5, true)
				fullRead(2, 4, test.copied)
				time.Sleep(leaseRecoveryTime / 4)
				fullRead(2, 6, false)
				time.Sleep(leaseRecoveryTime)
				feed.applyDue(time.Now())
				if got := keys(feed); got != "" {
					t.Fatalf("items %q after the recovery, want none", got)
				}
				fullRead(3, 4, true)
				if got := keys(feed); got != test.want {
					t.Errorf("items %q after the second return, want %q", got, test.want)
				}
			})
		})
	}
}

// Guards against states that differ between processes at the same revision, and
// against a revision that decreases. Three processes apply random changes from a
// store that drops its history, and from each other.
func TestStatesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		store.noWait = true
		feeds := []*Feed{
			New(store, keyDecoder{}, logr.Discard()),
			New(store, keyDecoder{}, logr.Discard()),
			New(store, keyDecoder{}, logr.Discard()),
		}
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			i := rapid.IntRange(0, len(feeds)-1).Draw(t, "feed")
			j := rapid.IntRange(0, len(feeds)-1).Draw(t, "peer")
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
			before := feeds[i].Revision()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				store.put(key, "")
			case 2:
				store.remove(key)
			case 3:
				store.dropHistory()
			case 4:
				if feeds[i].Revision().IsZero() || feeds[i].watch(t.Context()) != nil {
					if err := feeds[i].readAll(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
			case 5:
				feeds[i].ApplyPeerDelta(feeds[j].Delta(feeds[i].Revision()), "peer")
			}
			if before.After(feeds[i].Revision()) {
				t.Fatalf("revision decreased from %v to %v", before, feeds[i].Revision())
			}
			for _, feed := range feeds {
				if want := store.keysAt(feed.Revision().Number); want != keys(feed) {
					t.Fatalf("at revision %v: items %q, store had %q", feed.Revision(), keys(feed), want)
				}
			}
		}
	})
}
