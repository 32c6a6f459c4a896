package rtfake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// Limits of the platform.
const (
	watchLimit    = 30 * time.Second
	platformRate  = 2000 // reads a second over all readers
	platformBurst = 2000
)

// Platform is the configuration service and the list of VMs. The zero value
// is ready to use and has published nothing.
type Platform struct {
	MaxReadRate float64 // reads a second; 0 means platformRate, negative no limit

	mu        sync.Mutex
	documents map[rtid.Version][]byte
	highest   rtid.Version // ever published
	current   rtid.Version
	stale     rtid.Version // served instead of current; 0: current is served
	lists     []vmList     // by version, the first is visible
	listCount rtid.Version
	down      bool
	reads     int
	watches   int
	changed   chan struct{} // closed and replaced at each change
	limiter   *rate.Limiter
}

// vmList is one state of the list of VMs.
type vmList struct {
	version rtid.Version
	body    []byte
	visible time.Time
}

// answer is what one read returns. The version 0 means that there is none.
type answer struct {
	version rtid.Version
	body    []byte
	next    time.Time // when the answer changes by itself; zero: not known
}

// Publish makes body the document under the next version.
func (p *Platform) Publish(body []byte) rtid.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.publishLocked(p.highest+1, body)
}

// PublishVersion makes body the document under a version that may be lower
// than the one before, as after a restore of the platform from a backup.
func (p *Platform) PublishVersion(version rtid.Version, body []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishLocked(version, body)
}

func (p *Platform) publishLocked(version rtid.Version, body []byte) rtid.Version {
	if p.documents == nil {
		p.documents = map[rtid.Version][]byte{}
	}
	p.documents[version] = append([]byte(nil), body...)
	p.highest = max(p.highest, version)
	p.current = version
	p.wakeLocked()
	return version
}

// SetStale makes the service answer with an earlier version, until it is
// called with 0.
func (p *Platform) SetStale(version rtid.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = version
	p.wakeLocked()
}

// SetDown makes every read and watch, also the waiting ones, fail with 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeLocked()
}

// SetVMs replaces the list of VMs. Readers see it after lag.
func (p *Platform) SetVMs(members []rtplatform.Member, lag time.Duration) rtid.Version {
	// Marshal of these types returns no error.
	body, _ := json.Marshal(members)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listCount++
	p.lists = append(p.lists, vmList{version: p.listCount, body: body, visible: time.Now().Add(lag)})
	p.wakeLocked()
	return p.listCount
}

// Calls returns the number of reads so far, each watch counted as one, and
// the number of watches that wait now.
func (p *Platform) Calls() (reads, watches int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.watches
}

func (p *Platform) wakeLocked() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		failed(http.StatusMethodNotAllowed, "only GET is supported").write(w)
		return
	}
	switch r.URL.Path {
	case "/document":
		p.serve(w, r, p.documentLocked)
	case "/vms":
		p.serve(w, r, p.listLocked)
	default:
		failed(http.StatusNotFound, "no such path").write(w)
	}
}

func (p *Platform) documentLocked(time.Time) answer {
	version := p.current
	if p.stale != 0 {
		version = p.stale
	}
	return answer{version: version, body: p.documents[version]}
}

// listLocked returns the newest visible list and drops those before it.
func (p *Platform) listLocked(now time.Time) answer {
	for len(p.lists) > 1 && !now.Before(p.lists[1].visible) {
		p.lists = p.lists[1:]
	}
	if len(p.lists) == 0 {
		return answer{}
	}
	if now.Before(p.lists[0].visible) {
		return answer{next: p.lists[0].visible}
	}
	current := answer{version: p.lists[0].version, body: p.lists[0].body}
	if len(p.lists) > 1 {
		current.next = p.lists[1].visible
	}
	return current
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, readLocked func(time.Time) answer) {
	after := r.URL.Query().Get("after")
	version, err := strconv.ParseUint(after, 10, 64)
	if after != "" && err != nil {
		failed(http.StatusBadRequest, "after is not a number").write(w)
		return
	}
	if !p.count() {
		failed(http.StatusTooManyRequests, "over the rate of the platform").write(w)
		return
	}
	if after != "" {
		p.watch(w, r, rtid.Version(version), readLocked)
		return
	}
	p.mu.Lock()
	current, down := readLocked(time.Now()), p.down
	p.mu.Unlock()
	switch {
	case down:
		failed(http.StatusServiceUnavailable, "platform is down").write(w)
	case current.version == 0:
		failed(http.StatusNotFound, "none published").write(w)
	default:
		writeAnswer(w, current)
	}
}

// count counts one read and reports whether the rate allows it.
func (p *Platform) count() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.limiter == nil {
		p.limiter = newLimiter(p.MaxReadRate, platformRate, platformBurst)
	}
	return p.limiter.Allow()
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, after rtid.Version, readLocked func(time.Time) answer) {
	p.addWatch(1)
	defer p.addWatch(-1)
	limit := time.Now().Add(watchLimit)
	for {
		now := time.Now()
		p.mu.Lock()
		current, down, changed := readLocked(now), p.down, p.watchLocked()
		p.mu.Unlock()
		switch {
		case down:
			failed(http.StatusServiceUnavailable, "platform is down").write(w)
			return
		case current.version > after:
			writeAnswer(w, current)
			return
		case !now.Before(limit):
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if !waitUntil(r.Context(), changed, earliest(limit, current.next)) {
			return
		}
	}
}

func (p *Platform) addWatch(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watches += n
}

func (p *Platform) watchLocked() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func writeAnswer(w http.ResponseWriter, a answer) {
	w.Header().Set(rtplatform.HeaderVersion, strconv.FormatUint(uint64(a.version), 10))
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader has gone.
	_, _ = w.Write(a.body)
}
