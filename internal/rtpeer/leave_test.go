package rtpeer

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/go-logr/logr"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfeed"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplacement"
)

// leaveProcess knows leaving targets and exchanges them.
type leaveProcess struct {
	group *Group
	known []rtid.TargetIncarnation
}

func newLeaveProcess(i int) *leaveProcess {
	p := &leaveProcess{}
	p.group = New(Options{
		VM: rtid.VM(fmt.Sprint("vm", i)), Address: addressOf(i), Network: &rtnet.TCP{},
		Feed:   rtfeed.New(unavailableSource{}, emptyDecoder{}, logr.Discard()),
		Loads:  &fakeLoads{peerLoads: make(map[rtid.VM]map[rtid.Target]rtplacement.Load)},
		Leaves: p, Log: logr.Discard(),
	})
	return p
}

func (p *leaveProcess) LeavesToReport() []rtid.TargetIncarnation { return p.known }

func (p *leaveProcess) MergeLeaves(targets []rtid.TargetIncarnation) {
	for _, target := range targets {
		if !slices.Contains(p.known, target) {
			p.known = append(p.known, target)
		}
	}
}

// sendTo sends a digest to another process, as it is encoded for the own cell or for
// other cells.
func (p *leaveProcess) sendTo(t *testing.T, other *leaveProcess, ownCell bool) {
	t.Helper()
	message := p.group.newDigest(maxListedPeers)
	if !ownCell {
		message = message.forOtherCells()
	}
	data, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	var received digest
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	other.group.applyDigest(received)
}

// Guards against a process that does not learn of a leaving target which another one
// has heard of: in its cell, in another one, by a third process, or after a restart.
func TestLeavesReachPeers(t *testing.T) {
	leave := rtid.TargetIncarnation{ID: "i-1", Born: 7}
	first, second, third := newLeaveProcess(1), newLeaveProcess(2), newLeaveProcess(3)
	first.known = []rtid.TargetIncarnation{leave}
	first.sendTo(t, second, true)
	first.sendTo(t, second, true)
	second.sendTo(t, third, false)
	restarted := newLeaveProcess(1)
	third.sendTo(t, restarted, true)
	for i, p := range []*leaveProcess{second, third, restarted} {
		if len(p.known) != 1 || p.known[0] != leave {
			t.Errorf("process %d knows %v, want %v once", i, p.known, leave)
		}
	}
}

// Guards against digests that grow with the number of leaving targets until they
// cannot be sent, and against a peer that fills the memory of others.
func TestReportedLeavesAreBounded(t *testing.T) {
	first, second := newLeaveProcess(1), newLeaveProcess(2)
	for i := range 10 * maxReportedLeaves {
		first.known = append(first.known, rtid.TargetIncarnation{ID: rtid.Target(fmt.Sprint("i-", i)), Born: 1})
	}
	first.sendTo(t, second, true)
	if len(second.known) != maxReportedLeaves || second.known[0] != first.known[0] {
		t.Errorf("%d leaves were sent, want the newest %d", len(second.known), maxReportedLeaves)
	}
	message := digestFrom(1, 0, 0)
	message.Leaving = first.known
	other := newLeaveProcess(3)
	other.group.applyDigest(message)
	if len(other.known) != maxReportedLeaves {
		t.Errorf("%d leaves were taken from one digest, want at most %d", len(other.known), maxReportedLeaves)
	}
}
