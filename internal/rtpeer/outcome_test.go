package rtpeer

import (
	"fmt"
	"math"
	"testing"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtoutlier"
)

// Guards against outcomes that are lost or changed between gateways, and against a digest
// of a faulty sender that fills the memory of its receiver.
func TestOutcomesInDigest(t *testing.T) {
	var reports []rtoutlier.Report
	for i := range 3 * rtoutlier.MaxReports {
		reports = append(reports, rtoutlier.Report{
			Target: rtid.TargetIncarnation{ID: rtid.Target(fmt.Sprint("t", i)), Born: 7}, Outcomes: rtoutlier.Outcomes{Answers: 3, Failures: 1.5},
		})
	}
	reports[1].Failures = math.NaN() // is passed on to the tracker, which passes it over
	sent := digest{VM: "vm", Address: addressOf(1), Outcomes: reports}
	data, err := encodeDigest(sent, binaryCodec)
	if err != nil {
		t.Fatal(err)
	}
	received, err := decodeDigest(data)
	if err != nil {
		t.Fatal(err)
	}
	if len(received.Outcomes) != rtoutlier.MaxReports || received.Outcomes[0] != reports[0] {
		t.Errorf("got %d outcomes, want %d, the first one as sent", len(received.Outcomes), rtoutlier.MaxReports)
	}
	if got := received.forOtherCells().Outcomes; got != nil {
		t.Errorf("other cells get %d outcomes, want none", len(got))
	}
	data, err = encodeDigest(sent, jsonCodec)
	if err != nil {
		t.Fatal(err)
	}
	if received, err = decodeDigest(data); err != nil || received.Outcomes != nil {
		t.Errorf("JSON: got %d outcomes, error %v; want none", len(received.Outcomes), err)
	}
}
