package rtquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

var deadlyRequest = rtid.WholeRequest([]byte("deadly"))

// requestCrash is a crash of a target, in milliseconds, and how long it had had the
// request; a success if the target is negative.
type requestCrash struct{ ms, target, held int }

// Guards against a deadly request that is admitted after its third crash, and against a
// sound one that is kept away because it was at targets that ended together.
func TestRequestQuarantineThreshold(t *testing.T) {
	tests := []struct {
		name    string
		crashes []requestCrash
		want    Decision
	}{
		{"two targets, one after the other", []requestCrash{{0, 1, 50}, {80, 2, 50}}, Admit},
		{"three targets, one after the other", []requestCrash{{0, 1, 50}, {80, 2, 50}, {160, 3, 50}}, Reject},
		{"one target three times", []requestCrash{{0, 1, 50}, {4000, 1, 50}, {8000, 1, 50}}, Reject},
		{"zone lost", []requestCrash{{0, 1, 50}, {0, 2, 900}, {60, 3, 200}, {200, 4, 300}}, Admit},
		{"copies at the same time, then another one", []requestCrash{{0, 1, 50}, {10, 2, 50}, {4000, 3, 50}}, Reject},
		{"zone lost, then one target under the second attempt", []requestCrash{{0, 1, 50}, {20, 2, 50}, {90, 3, 60}}, Reject},
		{"success between", []requestCrash{{0, 1, 50}, {80, 2, 50}, {400, -1, 0}, {4000, 3, 50}}, Admit},
		{"unknown times of sending", []requestCrash{{0, 1, 0}, {80, 2, 0}, {160, 3, 0}}, Admit},
		{"far apart", []requestCrash{{0, 1, 50}, {61000, 2, 50}, {122000, 3, 50}}, Admit},
	}
	for _, test := range tests {
		own := &Register{}
		peer := &Register{}
		end := at(0)
		for i, c := range test.crashes {
			end = at(c.ms)
			r := []*Register{own, peer}[i%2]
			if c.target < 0 {
				own.RecordSound(partsOf(deadlyRequest), end)
			} else {
				sent := time.Time{}
				if c.held > 0 {
					sent = end.Add(-time.Duration(c.held) * time.Millisecond)
				}
				r.RecordCrash(targetOf(c.target), partsOf("first", deadlyRequest), sent, end)
			}
			peer.Merge(own.Observations(end), end)
			own.Merge(peer.Observations(end), end)
		}
		for i, r := range []*Register{own, peer} {
			if got := r.Check(partsOf("other", deadlyRequest), end, nil).Decision; got != test.want {
				t.Errorf("%s: process %d: %v, want %v", test.name, i, got, test.want)
			}
		}
	}
}

// Guards against a sound request that is kept away because its attempts and its copies
// were at targets that a deadly one crashed, and against a second deadly one that hides
// behind the first.
func TestRequestBesideDeadlyRequest(t *testing.T) {
	beside := rtid.WholeRequest([]byte("beside"))
	tests := []struct {
		name    string
		crashes []int // of those of the deadly request
		alone   int   // more crashes, under this request alone
		want    Decision
	}{
		{"at three crashes", []int{1, 2, 4}, 0, Admit},
		{"at three crashes and two alone", []int{1, 2, 4}, 2, Admit},
		{"at two crashes and three alone", []int{2, 4}, 3, Reject},
		{"three alone", nil, 3, Reject},
		{"at all crashes", []int{0, 1, 2, 3, 4, 5}, 0, Reject},
	}
	for _, test := range tests {
		var r Register
		for i := range 6 {
			r.RecordCrash(targetOf(i), partsOf(deadlyRequest), at(300*i), at(300*i+100))
			if slices.Contains(test.crashes, i) {
				r.RecordCrash(targetOf(i), partsOf(beside), at(300*i+20), at(300*i+110))
			}
		}
		for i := range test.alone {
			r.RecordCrash(targetOf(10+i), partsOf(beside), at(2000+300*i), at(2000+300*i+100))
		}
		if got := r.Check(partsOf(beside), at(4000), nil).Decision; got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if got := r.Check(partsOf(deadlyRequest), at(4000), nil).Decision; got != Reject {
			t.Errorf("%s: deadly request: %v, want Reject", test.name, got)
		}
	}
}

// Guards against parts that sound requests share with a deadly one and that are kept away
// with it, although it alone crashes targets.
func TestPartsOfDeadlyRequest(t *testing.T) {
	var r Register
	for i := range 10 {
		r.RecordCrash(targetOf(i), partsOf("first", "subject", deadlyRequest), at(1000*i), at(1000*i+100))
	}
	if got := r.Check(partsOf("first", "subject", rtid.WholeRequest([]byte("sound"))), at(10000), nil).Decision; got != Admit {
		t.Errorf("other request with the same parts: %v, want Admit", got)
	}
	if got := r.Check(partsOf("first", "subject", deadlyRequest), at(10000), nil).Decision; got != Reject {
		t.Errorf("deadly request: %v, want Reject", got)
	}
}

// Guards against a deadly part that hides behind the different requests that have it.
func TestDeadlyPartOfDifferentRequests(t *testing.T) {
	var r Register
	for i := range quarantineCrashes {
		whole := rtid.WholeRequest([]byte(fmt.Sprint(i)))
		r.RecordCrash(targetOf(i), partsOf("first", "d", whole), at(1000*i), at(1000*i+100))
		r.RecordSound(partsOf("first", rtid.WholeRequest([]byte("sound"))), at(1000*i+200))
	}
	if got := r.Check(partsOf("first", "d", rtid.WholeRequest([]byte("next"))), at(3000), nil).Decision; got != Reject {
		t.Errorf("next request with the part: %v, want Reject", got)
	}
	if got := r.Check(partsOf("first", rtid.WholeRequest([]byte("next"))), at(3000), nil).Decision; got != Admit {
		t.Errorf("request without the part: %v, want Admit", got)
	}
}

// Guards against a second attempt that a sound request does not get because nothing like
// it has succeeded, and against a third target under a request that has crashed two.
func TestRequestIsRepeatedAfterOneCrash(t *testing.T) {
	var r Register
	r.RecordCrash(targetOf(0), partsOf(deadlyRequest), at(0), at(100))
	if got := r.Unproven(partsOf(deadlyRequest), at(100)); got != nil {
		t.Errorf("%q may be the cause after one crash, want none", got)
	}
	r.RecordCrash(targetOf(1), partsOf(deadlyRequest), at(110), at(200))
	if got := r.Unproven(partsOf(deadlyRequest), at(200)); !slices.Equal(got, partsOf(deadlyRequest)) {
		t.Errorf("%q may be the cause after two crashes, want the request", got)
	}
}

// Guards against hashes of all requests for a minute's evidence that is gone, and against
// memory for requests that never come again.
func TestEvidenceAgainstRequestsEnds(t *testing.T) {
	var r Register
	for i := range 2 * maxSuspects {
		r.RecordSound(partsOf(rtid.WholeRequest([]byte(fmt.Sprint(i)))), at(0))
	}
	if r.SuspectsRequests() || len(r.sound.recent) > 0 {
		t.Errorf("requests suspected %v, %d sound ones kept without a crash, want none", r.SuspectsRequests(), len(r.sound.recent))
	}
	for i := range 2 * maxSuspects {
		r.RecordCrash(targetOf(i), partsOf(rtid.WholeRequest([]byte(fmt.Sprint(i)))), at(i), at(i))
	}
	if !r.SuspectsRequests() || len(r.suspects) > maxSuspects {
		t.Errorf("requests suspected %v, %d suspects, want some and at most %d", r.SuspectsRequests(), len(r.suspects), maxSuspects)
	}
	r.Observations(at(2 * maxSuspects).Add(suspicionTime))
	if r.SuspectsRequests() {
		t.Error("requests suspected after the evidence has ended, want none")
	}
}
