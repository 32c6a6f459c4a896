// Package rtledger implements the execution ledger of one agent incarnation. It
// records the state of each request, so that no request runs twice. It has no
// clock of its own and is not safe for concurrent use.
package rtledger

import (
	"crypto/sha256"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// EpochLength is the time after which new IDs get the next epoch.
const EpochLength = 10 * time.Minute

// epochsAtRecordLimit is the smallest number of epochs that the records are
// spread over when a ledger reaches MaxRecords. Dropping the oldest epoch then
// drops only a part of the records.
const epochsAtRecordLimit = 4

// State is the execution state of a request.
type State int

// The states. StateNotRun is a tombstone: the request has not started and never
// will. StateUnknown means that the target may have executed the request.
const (
	StateNone     State = iota // none
	StateAccepted              // accepted
	StateRunning               // running
	StateDone                  // done
	StateFailed                // failed
	StateNotRun                // notrun
	StateUnknown               // unknown
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=State,Disposition -linecomment

// Settled reports whether the request neither waits nor runs.
func (s State) Settled() bool {
	return s != StateAccepted && s != StateRunning
}

// Disposition is what Begin or Cancel did with an entry.
type Disposition int

// The dispositions. Fresh: the call wrote a new state; Begin allows the request
// to run only with this one. Known: the request has a record already, which did
// not change. Conflict: the record has another body or organisation.
// EpochExpired: IDs of this epoch cannot get a record. Full: there is no room
// for another record.
const (
	Fresh        Disposition = iota // fresh
	Known                           // known
	Conflict                        // conflict
	EpochExpired                    // forgotten
	Full                            // full
)

// Digest identifies the body of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a body.
func DigestOf(body []byte) Digest {
	return sha256.Sum256(body)
}

// Limits holds the limits on the memory of a ledger.
type Limits struct {
	MaxRecords         int        // number of records
	MaxEpochs          int        // number of epochs kept
	MaxResultSize      rtid.Bytes // size of one stored result body
	MaxTotalResultSize rtid.Bytes // size of all stored result bodies
}

// DefaultLimits keeps epochs for 24 h, unless MaxRecords is reached earlier.
var DefaultLimits = Limits{
	MaxRecords:         100_000,
	MaxEpochs:          int(24 * time.Hour / EpochLength),
	MaxResultSize:      4 << 20,
	MaxTotalResultSize: 64 << 20,
}

// Entry identifies an offered request.
type Entry struct {
	ID           rtid.Request
	Epoch        rtid.Epoch // epoch that the ID names, or the current one if the request is safe to repeat
	Organisation rtid.Organisation
	BodyDigest   Digest
}

// Result is the end state of a request.
type Result struct {
	State  State // a settled state
	Reason rtwire.Reason
	Detail string
	Body   []byte // result of an order; nil if it was dropped to limit memory
}

// dropBody removes the body and sets Detail, so that the result differs from one
// with an empty body.
func (r *Result) dropBody() {
	r.Body = nil
	r.Detail = "the result is no longer stored"
}

// Record is a copy of the ledger's record of a request.
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
	limits      Limits
	oldest      rtid.Epoch // IDs of lower epochs get no new record and must not run
	current     rtid.Epoch // epoch of new IDs; never below oldest
	epochStart  time.Time  // when the current epoch started
	records     map[rtid.Request]*record
	epochs      map[rtid.Epoch][]rtid.Request // every ID in records is listed in exactly one epoch
	resultIDs   []rtid.Request                // IDs whose results have a body, oldest first
	resultBytes rtid.Bytes                    // of all result bodies
}

// New returns an empty ledger whose first epoch starts now.
func New(limits Limits, now time.Time) *Ledger {
	return &Ledger{
		limits:     limits,
		epochStart: now,
		records:    make(map[rtid.Request]*record),
		epochs:     make(map[rtid.Epoch][]rtid.Request),
	}
}

// Epoch returns the epoch that new IDs must name.
func (l *Ledger) Epoch(now time.Time) rtid.Epoch {
	l.advanceEpoch(now)
	return l.current
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Begin records an offered request as accepted. With any disposition but Fresh,
// this call does not allow the request to run, and the returned record is the
// existing one or empty.
func (l *Ledger) Begin(entry Entry, now time.Time) (Record, Disposition) {
	l.advanceEpoch(now)
	if existing := l.records[entry.ID]; existing != nil {
		if !existing.matches(entry) {
			return Record{}, Conflict
		}
		return existing.copy(), Known
	}
	if !l.KeepsEpoch(entry.Epoch) {
		return Record{}, EpochExpired
	}
	if disposition := l.makeRoom(entry.Epoch); disposition != Fresh {
		return Record{}, disposition
	}
	added := l.add(entry, Result{State: StateAccepted})
	return added.copy(), Fresh
}

// KeepsEpoch reports whether IDs of an epoch may still run.
func (l *Ledger) KeepsEpoch(epoch rtid.Epoch) bool {
	return epoch >= l.oldest && epoch <= l.current
}

// Start marks an accepted request as running. It returns false if the request
// must not start.
func (l *Ledger) Start(id rtid.Request) bool {
	existing := l.records[id]
	if existing == nil || existing.result.State != StateAccepted {
		return false
	}
	existing.result.State = StateRunning
	return true
}

// Finish records the result of a request. Only StateUnknown can be replaced by
// another result, for when a late reply of the target shows the true outcome. It
// reports whether the result was recorded.
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
		l.resultIDs = append(l.resultIDs, id)
		l.resultBytes += rtid.Bytes(len(result.Body))
		l.trimResults()
	}
	return true
}

// Cancel writes a tombstone if the request has not started, also if it was
// never offered. It returns the record after the call. The disposition is Fresh
// if this call wrote the tombstone.
func (l *Ledger) Cancel(entry Entry, now time.Time) (Record, Disposition) {
	l.advanceEpoch(now)
	tombstone := Result{State: StateNotRun, Reason: rtwire.Reason_REASON_CANCELLED}
	existing := l.records[entry.ID]
	switch {
	case existing == nil:
		if !l.KeepsEpoch(entry.Epoch) {
			return Record{}, EpochExpired
		}
		if disposition := l.makeRoom(entry.Epoch); disposition != Fresh {
			return Record{}, disposition
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

// matches reports whether an offer belongs to this record. A tombstone of a
// request that was never offered matches every body.
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
	if len(l.epochs[l.current]) >= max(1, l.limits.MaxRecords/epochsAtRecordLimit) {
		l.current++
		l.dropOldEpochs()
	}
	return added
}

// makeRoom drops old epochs until there is room for one more record. It returns
// Fresh if a record of the given epoch may be added.
func (l *Ledger) makeRoom(epoch rtid.Epoch) Disposition {
	for len(l.records) >= l.limits.MaxRecords {
		if l.oldest == l.current {
			if len(l.epochs[l.current]) == 0 {
				return Full
			}
			l.current++
		}
		before := len(l.records)
		l.dropOldestEpoch()
		if len(l.records) == before && l.oldest == l.current {
			return Full
		}
	}
	if !l.KeepsEpoch(epoch) {
		return EpochExpired
	}
	return Fresh
}

// advanceEpoch sets the current epoch to the one of now.
func (l *Ledger) advanceEpoch(now time.Time) {
	passed := now.Sub(l.epochStart) / EpochLength
	if passed <= 0 {
		return
	}
	l.current += rtid.Epoch(passed)
	l.epochStart = l.epochStart.Add(passed * EpochLength)
	l.dropOldEpochs()
}

// dropOldEpochs drops epochs until at most MaxEpochs are kept.
func (l *Ledger) dropOldEpochs() {
	for int64(l.current)-int64(l.oldest) >= int64(l.limits.MaxEpochs) {
		l.dropOldestEpoch()
	}
}

// dropOldestEpoch drops the settled records of the oldest epoch. Records of
// waiting and running requests move to the current epoch, so that their results
// will be kept.
func (l *Ledger) dropOldestEpoch() {
	ids := l.epochs[l.oldest]
	delete(l.epochs, l.oldest)
	l.oldest++
	for _, id := range ids {
		existing := l.records[id]
		if !existing.result.State.Settled() {
			l.epochs[l.current] = append(l.epochs[l.current], id)
			continue
		}
		l.resultBytes -= rtid.Bytes(len(existing.result.Body))
		delete(l.records, id)
	}
}

// trimResults drops the oldest result bodies until the limit is met. Their
// records keep the states. It also removes the IDs of dropped records from
// resultIDs.
func (l *Ledger) trimResults() {
	for len(l.resultIDs) > 0 {
		oldest := l.records[l.resultIDs[0]]
		if oldest != nil && l.resultBytes <= l.limits.MaxTotalResultSize {
			return
		}
		l.resultIDs = l.resultIDs[1:]
		if oldest == nil {
			continue
		}
		l.resultBytes -= rtid.Bytes(len(oldest.result.Body))
		oldest.result.dropBody()
	}
}
