package rtpeer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/rhubarbtally/rhubarbtally/internal/rthelper"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// fakeRefusals records the refusals that peers report.
type fakeRefusals struct{ own, merged []rthelper.Refusal }

func (f *fakeRefusals) HelperRefusals() []rthelper.Refusal              { return f.own }
func (f *fakeRefusals) MergeHelperRefusals(refusals []rthelper.Refusal) { f.merged = refusals }

// Guards against refusals that a digest does not carry to peers of the cell, and against
// a list in a digest that grows without bound.
func TestRefusalsInDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, _ := newTestGroup()
		receiver, _ := newTestGroup()
		from, to := &fakeRefusals{}, &fakeRefusals{}
		sender.options.VM, sender.options.Address, sender.options.Refusals = "vm1", addressOf(1), from
		receiver.options.Refusals = to
		for i := range 2 * maxReportedRefusals {
			target := rtid.TargetIncarnation{ID: rtid.Target(fmt.Sprint("i-", i)), Born: 7}
			from.own = append(from.own, rthelper.Refusal{Target: target, Remaining: 1500 * time.Millisecond})
		}
		send := func(message digest) {
			data, err := encodeDigest(message, binaryCodec)
			if err != nil {
				t.Fatal(err)
			}
			received, err := decodeDigest(data)
			if err != nil {
				t.Fatal(err)
			}
			receiver.applyDigest(received)
		}
		send(sender.newDigest(0).forOtherCells())
		if len(to.merged) > 0 {
			t.Errorf("%d refusals in a digest for another cell, want none", len(to.merged))
		}
		send(sender.newDigest(0))
		if len(to.merged) != maxReportedRefusals || to.merged[0] != from.own[0] {
			t.Errorf("%d refusals arrive, the first one %v, want %d and %v", len(to.merged), to.merged[:min(1, len(to.merged))], maxReportedRefusals, from.own[0])
		}
	})
}

// Guards against refusals that no process reports and that are believed, or fill the log.
func TestMalformedRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newTestGroup()
		to, lines := &fakeRefusals{}, 0
		g.options.Refusals = to
		g.log = funcr.New(func(_, line string) { lines++ }, funcr.Options{})
		sound := reportedRefusal{rtid.TargetIncarnation{ID: "i-1"}, 1000}
		for range 3 {
			g.mergeRefusals([]reportedRefusal{
				{rtid.TargetIncarnation{}, 1000}, {rtid.TargetIncarnation{ID: "i-2"}, -1}, {rtid.TargetIncarnation{ID: "i-3"}, 1 << 62}, sound,
			}, "vm1", 200*time.Millisecond)
			if len(to.merged) != 1 || to.merged[0] != (rthelper.Refusal{Target: sound.TargetIncarnation, Remaining: 800 * time.Millisecond}) {
				t.Errorf("merged %v, want the sound one less the delay of the digest", to.merged)
			}
		}
		if lines != 1 {
			t.Errorf("%d lines, want 1", lines)
		}
		time.Sleep(dropLogInterval)
		g.mergeRefusals([]reportedRefusal{{}}, "vm1", 0)
		if lines != 2 {
			t.Errorf("%d lines after a minute, want 2", lines)
		}
	})
}
