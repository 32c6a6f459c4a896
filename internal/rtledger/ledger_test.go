package rtledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

var start = time.UnixMilli(1)

func entry(id rtid.Request, body string) Entry {
	return Entry{ID: id, Organisation: "court", BodyDigest: DigestOf([]byte(body))}
}

// Guards against running one ID for two bodies or organisations, and against a
// second run when an offer is repeated in any state.
func TestBegin(t *testing.T) {
	other := entry("a", "body")
	other.Organisation = "other"
	cancel := func(l *Ledger) { l.Cancel(Entry{ID: "a", Organisation: "court"}, start) }
	begin := func(l *Ledger) { l.Begin(entry("a", "body"), start) }
	run := func(l *Ledger) { begin(l); l.Start("a") }
	tests := []struct {
		name        string
		before      func(*Ledger)
		offered     Entry
		disposition Disposition
		state       State
	}{
		{"new", func(*Ledger) {}, entry("a", "body"), Fresh, StateAccepted},
		{"repeated", begin, entry("a", "body"), Known, StateAccepted},
		{"other body", begin, entry("a", "changed"), Conflict, StateNone},
		{"other organisation", begin, other, Conflict, StateNone},
		{"running", run, entry("a", "body"), Known, StateRunning},
		{"done", func(l *Ledger) { run(l); l.Finish("a", Result{State: StateDone}) }, entry("a", "body"), Known, StateDone},
		{"cancelled before the offer", cancel, entry("a", "body"), Known, StateNotRun},
		{"cancelled after the offer", func(l *Ledger) { begin(l); cancel(l) }, entry("a", "body"), Known, StateNotRun},
		{"cancelled while running", func(l *Ledger) { run(l); cancel(l) }, entry("a", "body"), Known, StateRunning},
		{"future epoch", func(*Ledger) {}, Entry{ID: "a", Epoch: 1}, EpochExpired, StateNone},
		{"old epoch", func(l *Ledger) { l.Epoch(start.Add(25 * time.Hour)) }, entry("a", "body"), EpochExpired, StateNone},
	}
	for _, test := range tests {
		ledger := New(DefaultLimits, start)
		test.before(ledger)
		record, disposition := ledger.Begin(test.offered, start)
		if disposition != test.disposition || record.State != test.state {
			t.Errorf("%s: got %v, %v, want %v, %v", test.name, disposition, record.State, test.disposition, test.state)
		}
	}
}

// Guards against results that change after they were reported. Only
// StateUnknown may be replaced.
func TestFinish(t *testing.T) {
	tests := []struct {
		first, second State
		recorded      bool
	}{
		{StateDone, StateFailed, false},
		{StateNotRun, StateDone, false},
		{StateFailed, StateDone, false},
		{StateUnknown, StateDone, true},
		{StateUnknown, StateRunning, false},
	}
	for _, test := range tests {
		ledger := New(DefaultLimits, start)
		ledger.Begin(entry("a", ""), start)
		ledger.Start("a")
		ledger.Finish("a", Result{State: test.first, Reason: rtwire.Reason_REASON_TARGET})
		if recorded := ledger.Finish("a", Result{State: test.second}); recorded != test.recorded {
			t.Errorf("%v then %v: second result recorded %v, want %v", test.first, test.second, recorded, test.recorded)
		}
		if ledger.Start("a") {
			t.Errorf("%v then %v: Start returned true, want false", test.first, test.second)
		}
	}
}

// Guards against result bodies that use unlimited memory, and against losing the
// state of a request when its result body is dropped.
func TestResultsAreBounded(t *testing.T) {
	ledger := New(Limits{MaxRecords: 100, MaxEpochs: 10, MaxResultSize: 10, MaxTotalResultSize: 25}, start)
	for i, size := range []int{10, 10, 11, 10} {
		id := rtid.Request(fmt.Sprint(i))
		ledger.Begin(entry(id, ""), start)
		ledger.Start(id)
		ledger.Finish(id, Result{State: StateDone, Body: bytes.Repeat([]byte("x"), size)})
	}
	for i, want := range []int{0, 10, 0, 10} {
		record, _ := ledger.Lookup(rtid.Request(fmt.Sprint(i)))
		if record.State != StateDone || len(record.Body) != want {
			t.Errorf("result %d: %v with %d bytes, want done with %d", i, record.State, len(record.Body), want)
		}
	}
}

// randomDriver applies random steps to a ledger and tracks which requests
// started.
type randomDriver struct {
	ledger  *Ledger
	now     time.Time
	started map[rtid.Request]bool
	epochs  map[rtid.Request]rtid.Epoch // epoch that each ID names
	running []rtid.Request
}

func (d *randomDriver) step(t *rapid.T) {
	id := rtid.Request(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "id")))
	if _, named := d.epochs[id]; !named {
		d.epochs[id] = d.ledger.Epoch(d.now)
	}
	offered := Entry{ID: id, Epoch: d.epochs[id], Organisation: "court"}
	switch rapid.IntRange(0, 4).Draw(t, "step") {
	case 0:
		d.now = d.now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "minutes")) * time.Minute)
	case 1:
		d.ledger.Cancel(offered, d.now)
	case 2:
		if len(d.running) > 0 {
			d.ledger.Finish(d.running[0], Result{State: StateDone, Body: []byte("result")})
			d.running = d.running[1:]
		}
	default:
		d.begin(t, offered)
	}
}

func (d *randomDriver) begin(t *rapid.T, offered Entry) {
	if _, disposition := d.ledger.Begin(offered, d.now); disposition != Fresh || !d.ledger.Start(offered.ID) {
		return
	}
	if d.started[offered.ID] {
		t.Fatalf("request %s started twice", offered.ID)
	}
	d.started[offered.ID] = true
	d.running = append(d.running, offered.ID)
}

// Guards against a request that starts twice after its record was dropped,
// against more records or result bytes than the limits allow, and against
// dropping records of running requests.
func TestNothingStartsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxRecords: rapid.IntRange(4, 12).Draw(t, "records"), MaxEpochs: 3, MaxResultSize: 10, MaxTotalResultSize: 30}
		driver := &randomDriver{
			ledger:  New(limits, start),
			now:     start,
			started: map[rtid.Request]bool{},
			epochs:  map[rtid.Request]rtid.Epoch{},
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			driver.step(t)
			if driver.ledger.Len() > limits.MaxRecords || driver.ledger.resultBytes > limits.MaxTotalResultSize {
				t.Fatalf("%d records and %d bytes of results exceed the limits", driver.ledger.Len(), driver.ledger.resultBytes)
			}
		}
		for _, id := range driver.running {
			if record, _ := driver.ledger.Lookup(id); record.State != StateRunning {
				t.Fatalf("%s is running, but its state in the ledger is %v", id, record.State)
			}
		}
	})
}

func BenchmarkBeginToFinish(b *testing.B) {
	ids := make([]rtid.Request, b.N)
	for i := range ids {
		ids[i] = rtid.Request(fmt.Sprint("o.filings-1.19af2.1.deadbeef.", i))
	}
	digest := DigestOf([]byte("body"))
	ledger := New(DefaultLimits, start)
	b.ReportAllocs()
	b.ResetTimer()
	for _, id := range ids {
		ledger.Begin(Entry{ID: id, Epoch: ledger.Epoch(start), Organisation: "court", BodyDigest: digest}, start)
		ledger.Start(id)
		ledger.Finish(id, Result{State: StateDone})
	}
}
