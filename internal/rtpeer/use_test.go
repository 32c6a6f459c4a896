package rtpeer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
	"github.com/rhubarbtally/rhubarbtally/internal/rtshare"
)

// useProcess reports uses and records those of a peer.
type useProcess struct {
	group  *Group
	log    []string
	own    []rtshare.Use
	scarce []rtid.Service
	heard  []rtshare.Use
	lacks  []rtid.Service
}

func newUseProcess(i int) *useProcess {
	p := &useProcess{}
	p.group = New(Options{
		VM: rtid.VM(fmt.Sprint("vm", i)), Address: addressOf(i), Network: &rtnet.TCP{},
		Loads:  &fakeLoads{peerLoads: make(map[rtid.VM]map[rtid.Target]rtplacement.Load)},
		Shares: p, Log: funcr.New(func(_, line string) { p.log = append(p.log, line) }, funcr.Options{}),
	})
	p.group.options.Feed = rtfeed.New(unavailableSource{}, emptyDecoder{}, p.group.options.Log)
	return p
}

func (p *useProcess) Uses(most int) []rtshare.Use    { return p.own[:min(len(p.own), most)] }
func (p *useProcess) ScarceServices() []rtid.Service { return p.scarce }
func (p *useProcess) SetPeerUses(_ rtid.VM, uses []rtshare.Use, scarce []rtid.Service) {
	p.heard, p.lacks = uses, scarce
}

// sendTo sends a digest to another process in the binary encoding.
func (p *useProcess) sendTo(t *testing.T, other *useProcess, change func(*digest)) int {
	t.Helper()
	message := p.group.newDigest(0)
	change(&message)
	data, err := encodeDigest(message, binaryCodec)
	if err != nil {
		t.Fatal(err)
	}
	received, err := decodeDigest(data)
	if err != nil {
		t.Fatal(err)
	}
	other.group.applyDigest(received)
	return len(message.Uses)
}

// Guards against uses that do not reach a peer, that are repeated in each digest, which
// takes more traffic than allowed, or that leave the cell.
func TestUsesReachPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newUseProcess(1), newUseProcess(2)
		first.own = []rtshare.Use{{Service: "talk", Organisation: "court", Time: 1500 * time.Millisecond, Waiting: true}}
		first.scarce = []rtid.Service{"talk"}
		unchanged := func(*digest) {}
		if sent := first.sendTo(t, second, unchanged); sent != 1 || len(second.heard) != 1 || second.heard[0] != first.own[0] || len(second.lacks) != 1 {
			t.Errorf("heard %v and %v", second.heard, second.lacks)
		}
		if sent := first.sendTo(t, second, unchanged); sent != 0 || len(second.lacks) != 1 {
			t.Errorf("%d uses in the next digest at once, scarce %v", sent, second.lacks)
		}
		time.Sleep(usesInterval)
		if sent := first.sendTo(t, second, unchanged); sent != 1 {
			t.Errorf("%d uses after an interval", sent)
		}
		first.sendTo(t, second, func(d *digest) { *d = d.forOtherCells() })
		if len(second.heard)+len(second.lacks) != 0 {
			t.Errorf("another cell heard %v and %v", second.heard, second.lacks)
		}
		for i := range 43 {
			first.group.addPeer(addressOf(i + 2))
		}
		for i := range 40 {
			first.own = append(first.own, rtshare.Use{Service: "talk", Organisation: rtid.Organisation(fmt.Sprint(i)), Time: time.Second})
		}
		time.Sleep(usesInterval)
		if sent := first.sendTo(t, second, unchanged); sent != minReportedUses {
			t.Errorf("%d uses to 43 peers, want %d", sent, minReportedUses)
		}
	})
}

// Guards against uses that no process sends: they must neither count nor end the process,
// nor fill the log, and must not keep sound ones from being heard.
func TestMalformedUses(t *testing.T) {
	sound := reportedUse{Service: "talk", Organisation: "court", Use: 5}
	long := strings.Repeat("x", maxName+1)
	tests := []struct {
		name string
		use  reportedUse
	}{
		{"no service", reportedUse{Organisation: "court", Use: 5}},
		{"long service", reportedUse{Service: rtid.Service(long), Use: 5}},
		{"long organisation", reportedUse{Service: "talk", Organisation: rtid.Organisation(long), Use: 5}},
		{"negative", reportedUse{Service: "talk", Use: -1}},
		{"not a number", reportedUse{Service: "talk", Use: math.NaN()}},
		{"infinite", reportedUse{Service: "talk", Use: math.Inf(1)}},
		{"too large", reportedUse{Service: "talk", Use: 1e12}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := newUseProcess(1), newUseProcess(2)
				for range 3 {
					first.sendTo(t, second, func(d *digest) {
						d.Uses = []reportedUse{test.use, sound}
						d.Scarce = []rtid.Service{"", rtid.Service(long), "talk"}
					})
				}
				if len(second.heard) != 1 || second.heard[0].Organisation != "court" || len(second.lacks) != 1 {
					t.Errorf("heard %v and %v", second.heard, second.lacks)
				}
				lines := 0
				for _, line := range second.log {
					if strings.Contains(line, "Uses in a digest dropped.") {
						lines++
					}
				}
				if lines != 1 {
					t.Errorf("%d lines for three digests of a sender within a minute", lines)
				}
			})
		})
	}
	first, second := newUseProcess(1), newUseProcess(2)
	first.sendTo(t, second, func(d *digest) {
		for range 10_000 / 4 {
			d.Uses, d.Scarce = append(d.Uses, sound), append(d.Scarce, "talk")
		}
	})
	if len(second.heard) != maxReportedUses || len(second.lacks) != rtshare.MaxServices {
		t.Errorf("%d uses and %d services of a long list", len(second.heard), len(second.lacks))
	}
}
