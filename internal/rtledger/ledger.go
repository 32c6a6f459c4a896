// Package rtledger is the execution ledger of one agent incarnation: what
// became of each request, so that no request runs twice. It has no clock of
// its own and is not safe for concurrent use.
package rtledger

import (
	"crypto/sha256"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// EpochLength is the time after which ids get the next epoch.
const EpochLength = 10 * time.Minute

// rotations is the number of epochs that the limit on records is shared out
// to, so that running into the limit forgets a part of the records only.
const rotations = 4

// State is what became of a request.
type State int

// The states. NotRun is a tombstone: the request has not started and never
// will. Unknown means that the target may have executed the request.
const (
	StateNone     State = iota // none
	StateAccepted              // accepted
	StateRunning               // running
	StateDone                  // done
	StateFailed                // failed
	StateNotRun                // notrun
	StateUnknown               // unknown
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=State,Verdict -linecomment

// Settled reports whether the request neither waits nor runs.
func (s State) Settled() bool {
	return s != StateAccepted && s != StateRunning
}

// Verdict is the result of Begin.
type Verdict int

// The verdicts of Begin. Only Fresh allows the request to run.
const (
	Fresh        Verdict = iota // fresh
	Known                       // known
	Conflict                    // conflict
	EpochExpired                // forgotten
	Full                        // full
)

// Digest identifies the body of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest {
	return sha256.Sum256(body)
}

// Limits bound the memory of a ledger.
type Limits struct {
	MaxRecords     int        // most records
	MaxEpochs      int        // most epochs kept
	MaxResultSize  rtid.Bytes // largest result kept
	MaxResultsSize rtid.Bytes // all results together
}

// DefaultLimits keep epochs for 24 h, if the records fit.
var DefaultLimits = Limits{
	MaxRecords:     100_000,
	MaxEpochs:      int(24 * time.Hour / EpochLength),
	MaxResultSize:  4 << 20,
	MaxResultsSize: 64 << 20,
}

// Entry identifies a request that is offered.
type Entry struct {
	ID           rtid.Request
	Epoch        rtid.Epoch // named by the id
	Organisation rtid.Organisation
	BodyDigest   Digest
}

// Result is how a request ended.
type Result struct {
	State  State // settled
	Reason rtwire.Reason
	Detail string
	Body   []byte // answer of an order; nil if it was dropped to bound memory
}

// dropBody leaves a result that cannot be taken for an empty one.
func (r *Result) dropBody() {
	r.Body = nil
	r.Detail = "the result is not kept any more"
}

// Record is a copy of what the ledger knows about a request.
type Record struct {
	Organisation rtid.Organisation
	Result
}

type record struct {
	entry  Entry
	result Result
}

// Ledger holds the records of one incarnation.
type Ledger struct {
	limits  Limits
	oldest  rtid.Epoch // epochs below are forgotten and never run
	current rtid.Epoch // epoch of new ids; never below oldest
	turned  time.Time  // start of the current epoch
	records map[rtid.Request]*record
	epochs  map[rtid.Epoch][]rtid.Request // every id in records is in one epoch
	results []rtid.Request                // ids with a result body, oldest first
	size    rtid.Bytes                    // of all result bodies
}

// New returns an empty ledger whose first epoch starts now.
func New(limits Limits, now time.Time) *Ledger {
	return &Ledger{
		limits:  limits,
		turned:  now,
		records: make(map[rtid.Request]*record),
		epochs:  make(map[rtid.Epoch][]rtid.Request),
	}
}

// Epoch returns the epoch that new ids must name.
func (l *Ledger) Epoch(now time.Time) rtid.Epoch {
	l.advance(now)
	return l.current
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Begin records an offered request as accepted. With any verdict but Fresh
// the request must not run because of this call; the record is then the
// existing one, or empty.
func (l *Ledger) Begin(entry Entry, now time.Time) (Record, Verdict) {
	l.advance(now)
	if existing := l.records[entry.ID]; existing != nil {
		if !existing.matches(entry) {
			return Record{}, Conflict
		}
		return existing.copy(), Known
	}
	if !l.KeepsEpoch(entry.Epoch) {
		return Record{}, EpochExpired
	}
	if verdict := l.reserve(entry.Epoch); verdict != Fresh {
		return Record{}, verdict
	}
	added := l.add(entry, Result{State: StateAccepted})
	return added.copy(), Fresh
}

// Keeps reports whether ids of an epoch may still run.
func (l *Ledger) KeepsEpoch(epoch rtid.Epoch) bool {
	return epoch >= l.oldest && epoch <= l.current
}

// Start marks an accepted request as running. It reports false if the request
// must not start.
func (l *Ledger) Start(id rtid.Request) bool {
	existing := l.records[id]
	if existing == nil || existing.result.State != StateAccepted {
		return false
	}
	existing.result.State = StateRunning
	return true
}

// Finish settles a request. Only the state unknown can be settled again, when
// a late answer of the target tells what happened. It reports whether the
// result was taken.
func (l *Ledger) Finish(id rtid.Request, result Result) bool {
	existing := l.records[id]
	if existing == nil || !result.State.Settled() || result.State == StateNone {
		return false
	}
	if existing.result.State.Settled() && existing.result.State != StateUnknown {
		return false
	}
	if rtid.Bytes(len(result.Body)) > l.limits.MaxResultSize {
		result.dropBody()
	}
	existing.result = result
	if len(result.Body) > 0 {
		l.results = append(l.results, id)
		l.size += rtid.Bytes(len(result.Body))
		l.boundResults()
	}
	return true
}

// Cancel writes a tombstone if the request has not started, also for a
// request that was never offered. The returned record tells what holds now.
// The verdict is Fresh if this call wrote the tombstone.
func (l *Ledger) Cancel(entry Entry, now time.Time) (Record, Verdict) {
	l.advance(now)
	tombstone := Result{State: StateNotRun, Reason: rtwire.Reason_REASON_CANCELLED}
	existing := l.records[entry.ID]
	switch {
	case existing == nil:
		if !l.KeepsEpoch(entry.Epoch) {
			return Record{}, EpochExpired
		}
		if verdict := l.reserve(entry.Epoch); verdict != Fresh {
			return Record{}, verdict
		}
		added := l.add(entry, tombstone)
		return added.copy(), Fresh
	case existing.entry.Organisation != entry.Organisation:
		return Record{}, Conflict
	case existing.result.State == StateAccepted:
		existing.result = tombstone
		return existing.copy(), Fresh
	default:
		return existing.copy(), Known
	}
}

// Lookup returns the record of a request.
func (l *Ledger) Lookup(id rtid.Request) (Record, bool) {
	existing := l.records[id]
	if existing == nil {
		return Record{}, false
	}
	return existing.copy(), true
}

// matches reports whether an offer is the one of this record. A tombstone of
// a request that was never offered matches every body.
func (r *record) matches(entry Entry) bool {
	if r.entry.Organisation != entry.Organisation {
		return false
	}
	return r.entry.BodyDigest == entry.BodyDigest || r.entry.BodyDigest == Digest{}
}

func (r *record) copy() Record {
	return Record{Organisation: r.entry.Organisation, Result: r.result}
}

func (l *Ledger) add(entry Entry, result Result) *record {
	added := &record{entry: entry, result: result}
	l.records[entry.ID] = added
	l.epochs[entry.Epoch] = append(l.epochs[entry.Epoch], entry.ID)
	if len(l.epochs[l.current]) >= max(1, l.limits.MaxRecords/rotations) {
		l.current++
		l.forgetOld()
	}
	return added
}

// reserve makes room for one record of an epoch.
func (l *Ledger) reserve(epoch rtid.Epoch) Verdict {
	for len(l.records) >= l.limits.MaxRecords {
		if l.oldest == l.current {
			if len(l.epochs[l.current]) == 0 {
				return Full
			}
			l.current++
		}
		before := len(l.records)
		l.forget()
		if len(l.records) == before && l.oldest == l.current {
			return Full
		}
	}
	if !l.KeepsEpoch(epoch) {
		return EpochExpired
	}
	return Fresh
}

// advance moves to the epoch of now.
func (l *Ledger) advance(now time.Time) {
	passed := now.Sub(l.turned) / EpochLength
	if passed <= 0 {
		return
	}
	l.current += rtid.Epoch(passed)
	l.turned = l.turned.Add(passed * EpochLength)
	l.forgetOld()
}

// forgetOld forgets the epochs beyond the number kept.
func (l *Ledger) forgetOld() {
	for int64(l.current)-int64(l.oldest) >= int64(l.limits.MaxEpochs) {
		l.forget()
	}
}

// forget drops the settled records of the oldest epoch. Requests that wait or
// run move to the current epoch, so that their result is kept.
func (l *Ledger) forget() {
	ids := l.epochs[l.oldest]
	delete(l.epochs, l.oldest)
	l.oldest++
	for _, id := range ids {
		existing := l.records[id]
		if !existing.result.State.Settled() {
			l.epochs[l.current] = append(l.epochs[l.current], id)
			continue
		}
		l.size -= rtid.Bytes(len(existing.result.Body))
		delete(l.records, id)
	}
}

// boundResults drops the oldest result bodies over the limit; their states
// stay. Ids of forgotten records go with them.
func (l *Ledger) boundResults() {
	for len(l.results) > 0 {
		oldest := l.records[l.results[0]]
		if oldest != nil && l.size <= l.limits.MaxResultsSize {
			return
		}
		l.results = l.results[1:]
		if oldest == nil {
			continue
		}
		l.size -= rtid.Bytes(len(oldest.result.Body))
		oldest.result.dropBody()
	}
}
