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

// Limits of the fake platform.
const (
	watchTimeout      = 30 * time.Second
	platformReadRate  = 2000 // reads per second of all clients together
	platformReadBurst = 2000
)

// Platform is a fake of the platform: it serves the configuration document and
// the list of VMs. The zero value is ready to use and has published nothing.
type Platform struct {
	MaxReadRate float64 // reads per second; 0 means platformReadRate, negative no limit

	mu              sync.Mutex
	documents       map[rtid.Version][]byte
	highestVersion  rtid.Version // highest version ever published
	currentVersion  rtid.Version
	staleVersion    rtid.Version // served instead of currentVersion; 0: currentVersion is served
	vmLists         []vmList     // by version; the first is the visible one
	lastListVersion rtid.Version
	down            bool
	reads           int
	watches         int
	changed         chan struct{} // closed and replaced at each change
	limiter         *rate.Limiter
}

// vmList is one version of the list of VMs.
type vmList struct {
	version   rtid.Version
	body      []byte
	visibleAt time.Time
}

// snapshot is the document or list that a read returns. Version 0 means that
// none was published.
type snapshot struct {
	version    rtid.Version
	body       []byte
	nextChange time.Time // when the next version becomes visible without a further call; zero: never
}

// Publish publishes body as the document with the next version.
func (p *Platform) Publish(body []byte) rtid.Version {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.publishLocked(p.highestVersion+1, body)
}

// PublishVersion publishes body as the document with a version that may be lower
// than the preceding one, as after a restore of the platform from a backup.
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
	p.highestVersion = max(p.highestVersion, version)
	p.currentVersion = version
	p.wakeLocked()
	return version
}

// SetStale makes reads return an earlier version, until it is called with 0.
func (p *Platform) SetStale(version rtid.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleVersion = version
	p.wakeLocked()
}

// SetDown makes every read and every watch, also waiting ones, fail with
// status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeLocked()
}

// SetVMs replaces the list of VMs. Reads return the new list after lag.
func (p *Platform) SetVMs(members []rtplatform.Member, lag time.Duration) rtid.Version {
	// Marshal of these types returns no error.
	body, _ := json.Marshal(members)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastListVersion++
	p.vmLists = append(p.vmLists, vmList{version: p.lastListVersion, body: body, visibleAt: time.Now().Add(lag)})
	p.wakeLocked()
	return p.lastListVersion
}

// Calls returns the number of reads so far, with each watch counted as one, and
// the number of watches that are waiting.
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
		errorReply(http.StatusMethodNotAllowed, "only GET is supported").write(w)
		return
	}
	switch r.URL.Path {
	case "/document":
		p.serveRead(w, r, p.documentLocked)
	case "/vms":
		p.serveRead(w, r, p.listLocked)
	default:
		errorReply(http.StatusNotFound, "no such path").write(w)
	}
}

func (p *Platform) documentLocked(time.Time) snapshot {
	version := p.currentVersion
	if p.staleVersion != 0 {
		version = p.staleVersion
	}
	return snapshot{version: version, body: p.documents[version]}
}

// listLocked returns the newest visible list and drops older ones.
func (p *Platform) listLocked(now time.Time) snapshot {
	for len(p.vmLists) > 1 && !now.Before(p.vmLists[1].visibleAt) {
		p.vmLists = p.vmLists[1:]
	}
	if len(p.vmLists) == 0 {
		return snapshot{}
	}
	if now.Before(p.vmLists[0].visibleAt) {
		return snapshot{nextChange: p.vmLists[0].visibleAt}
	}
	current := snapshot{version: p.vmLists[0].version, body: p.vmLists[0].body}
	if len(p.vmLists) > 1 {
		current.nextChange = p.vmLists[1].visibleAt
	}
	return current
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, readLocked func(time.Time) snapshot) {
	after := r.URL.Query().Get("after")
	version, err := strconv.ParseUint(after, 10, 64)
	if after != "" && err != nil {
		errorReply(http.StatusBadRequest, "after is not a number").write(w)
		return
	}
	if !p.countRead() {
		errorReply(http.StatusTooManyRequests, "over the rate of the platform").write(w)
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
		errorReply(http.StatusServiceUnavailable, "platform is down").write(w)
	case current.version == 0:
		errorReply(http.StatusNotFound, "none published").write(w)
	default:
		writeSnapshot(w, current)
	}
}

// countRead counts one read and reports whether the rate limit allows it.
func (p *Platform) countRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.limiter == nil {
		p.limiter = newLimiter(p.MaxReadRate, platformReadRate, platformReadBurst)
	}
	return p.limiter.Allow()
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, after rtid.Version, readLocked func(time.Time) snapshot) {
	p.addWatches(1)
	defer p.addWatches(-1)
	deadline := time.Now().Add(watchTimeout)
	for {
		now := time.Now()
		p.mu.Lock()
		current, down, changed := readLocked(now), p.down, p.changedLocked()
		p.mu.Unlock()
		switch {
		case down:
			errorReply(http.StatusServiceUnavailable, "platform is down").write(w)
			return
		case current.version > after:
			writeSnapshot(w, current)
			return
		case !now.Before(deadline):
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if !waitUntil(r.Context(), changed, earliest(deadline, current.nextChange)) {
			return
		}
	}
}

func (p *Platform) addWatches(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watches += n
}

func (p *Platform) changedLocked() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func writeSnapshot(w http.ResponseWriter, s snapshot) {
	w.Header().Set(rtplatform.HeaderVersion, strconv.FormatUint(uint64(s.version), 10))
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_, _ = w.Write(s.body)
}
