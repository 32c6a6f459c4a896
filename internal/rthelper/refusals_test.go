package rthelper

import (
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var (
	engine  = rtid.TargetIncarnation{ID: "i-1", Born: 1}
	restart = rtid.TargetIncarnation{ID: "i-1", Born: 2}
	begin   = time.Unix(1_800_000_000, 0)
)

// Guards against an engine that is asked for help again and again while it refuses, and
// against one that gets no parts after it has helped, has started again, or because many
// requests were on their way when it began to refuse.
func TestRefusals(t *testing.T) {
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	refused := func(sent, heard float64) func(*Refusals) {
		return func(r *Refusals) { r.Record(engine, at(sent), at(heard)) }
	}
	helped := func(sent, heard float64) func(*Refusals) {
		return func(r *Refusals) { r.RecordHelp(engine, at(sent), at(heard)) }
	}
	reported := func(remaining, heard float64) func(*Refusals) {
		return func(r *Refusals) {
			r.Merge(Refusal{Target: engine, Remaining: time.Duration(remaining * float64(time.Second))}, at(heard))
		}
	}
	tests := []struct {
		name   string
		events []func(*Refusals)
		target rtid.TargetIncarnation
		until  float64 // end of the pause; 0 for none
	}{
		{"never", nil, engine, 0},
		{"once", []func(*Refusals){refused(0, 0.1)}, engine, 3.1},
		{"twice", []func(*Refusals){refused(0, 0), refused(3, 3)}, engine, 9},
		{"at most 24 s", []func(*Refusals){refused(0, 0), refused(3, 3), refused(9, 9), refused(21, 21), refused(45, 45)}, engine, 69},
		{"many on their way", []func(*Refusals){refused(0, 0.1), refused(0.05, 0.12), refused(0.06, 0.2)}, engine, 3.1},
		{"helped since", []func(*Refusals){refused(0, 0.1), helped(0.2, 0.5)}, engine, 0},
		{"first again after help", []func(*Refusals){refused(0, 0), refused(3, 3), helped(9, 9.5), refused(10, 10)}, engine, 13},
		{"help with an earlier prompt", []func(*Refusals){refused(0, 0.1), helped(0.05, 0.5)}, engine, 3.1},
		{"next incarnation", []func(*Refusals){refused(0, 0)}, restart, 0},
		{"reported", []func(*Refusals){reported(2, 1)}, engine, 3},
		{"reported for too long", []func(*Refusals){reported(1000, 0)}, engine, 24},
		{"reported as negative", []func(*Refusals){reported(-5, 0)}, engine, 0},
		{"reported beside an own one", []func(*Refusals){refused(0, 0), reported(1, 0)}, engine, 3},
		{"reported just after help", []func(*Refusals){helped(0, 0), reported(3, 0.2)}, engine, 0},
		{"reported long after help", []func(*Refusals){helped(0, 0), reported(3, 0.4)}, engine, 3.4},
		{"helped after a report", []func(*Refusals){reported(3, 0), helped(0, 0.5)}, engine, 0},
	}
	for _, test := range tests {
		var r Refusals
		for _, event := range test.events {
			event(&r)
		}
		last := 0.0
		for now := 0.0; now < 80; now += 0.05 {
			if r.Refused(test.target, at(now)) {
				last = now
			}
		}
		if test.until == 0 && last != 0 || test.until != 0 && (last < test.until-0.1 || last > test.until) {
			t.Errorf("%s: refused until %.2f s, want %v", test.name, last, test.until)
		}
	}
}

// Guards against refusals that processes report back to one another without end, against
// a list in no order, and against records that grow without bound.
func TestHeardAndBounds(t *testing.T) {
	var r Refusals
	r.Merge(Refusal{Target: restart, Remaining: time.Second}, begin)
	r.Record(engine, begin, begin)
	r.Record(rtid.TargetIncarnation{ID: "i-2"}, begin, begin.Add(time.Second))
	heard := r.Heard(begin.Add(2 * time.Second))
	if len(heard) != 2 || heard[0].Target.ID != "i-2" || heard[1] != (Refusal{Target: engine, Remaining: time.Second}) {
		t.Errorf("heard %v, want the two own ones, the newest first", heard)
	}
	for i := range maxTargets + 10 {
		r.Merge(Refusal{Target: rtid.TargetIncarnation{ID: rtid.Target(fmt.Sprint("x", i))}, Remaining: time.Hour}, begin)
	}
	if len(r.records) > maxTargets {
		t.Errorf("%d records, want at most %d", len(r.records), maxTargets)
	}
	r.Forget(begin.Add(time.Minute))
	if len(r.records) > 0 {
		t.Errorf("%d records after all have ended, want none", len(r.records))
	}
}
