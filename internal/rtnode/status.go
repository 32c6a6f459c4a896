package rtnode

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// minConfirmationGain is how much newer a peer's confirmation must be to
// replace the stored one. Ages do not include network latency: without a
// minimum, processes that exchange one confirmation often would make it newer
// each time.
const minConfirmationGain = time.Second

// Status returns the status of this process for its peers.
func (n *Node) Status() *rtwire.Status {
	version := n.store.Current().Version
	n.mu.Lock()
	status := &rtwire.Status{
		Vm:          string(n.self.VM),
		Role:        n.options.Role,
		Zone:        string(n.self.Zone),
		Address:     string(n.self.Address),
		Incarnation: uint64(n.incarnation),
		Version:     uint64(version),
		Roster:      uint64(n.table.Roster().Version()),
		Leaving:     n.draining,
		Ready:       n.ready,
		Target:      string(n.self.Target),
		Service:     string(n.self.Service),
	}
	if !n.confirmedAt.IsZero() {
		status.Confirmed = durationpb.New(time.Since(n.confirmedAt))
	}
	n.mu.Unlock()
	if n.options.Load != nil {
		status.Load = n.options.Load()
	}
	if n.options.Epoch != nil {
		status.Epoch = uint32(n.options.Epoch())
	}
	return status
}

// HandleStatus stores a status received in any exchange, as if it came with a
// heartbeat, and queues a pull if its sender has a newer document or list of
// VMs. A malformed status is dropped and counted.
func (n *Node) HandleStatus(status *rtwire.Status) {
	if n.storeStatus(status, time.Now()) && n.isBehind(status) {
		n.queuePull(status)
	}
}

// storeStatus checks and stores a status that was created at or after
// notBefore, and reports whether it was stored.
func (n *Node) storeStatus(status *rtwire.Status, notBefore time.Time) bool {
	if err := checkStatus(status); err != nil {
		n.counters.malformed.Inc(1)
		n.options.Log.V(1).Info("Malformed status dropped.", "error", err.Error())
		return false
	}
	if rtid.VM(status.Vm) == n.self.VM {
		return false
	}
	version := n.store.Current().Version
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.table.StoreStatus(proto.Clone(status).(*rtwire.Status), time.Now()) {
		n.counters.superseded.Inc(1)
		return false
	}
	if status.Confirmed != nil && rtid.Version(status.Version) == version {
		confirmedAt := notBefore.Add(-status.Confirmed.AsDuration())
		if confirmedAt.Sub(n.confirmedAt) > minConfirmationGain {
			n.confirmedAt = confirmedAt
			n.confirmedByPeer = true
		}
	}
	return true
}

// markConfirmed records that the platform has just confirmed the version in
// force as the newest.
func (n *Node) markConfirmed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmedAt = time.Now()
}

var errNoStatus = errors.New("status is missing")

// checkStatus returns an error if a status is malformed.
func checkStatus(status *rtwire.Status) error {
	if status == nil {
		return errNoStatus
	}
	if err := checkNames(status.Vm, status.Zone); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(status.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if status.Incarnation == 0 {
		return errors.New("incarnation is 0")
	}
	if status.Confirmed != nil && (!status.Confirmed.IsValid() || status.Confirmed.AsDuration() < 0) {
		return errors.New("age of the confirmation is negative or out of range")
	}
	switch status.Role {
	case rtwire.Role_ROLE_ENTRY:
		if status.Target != "" || status.Service != "" {
			return errors.New("status of an entry has a target or a service")
		}
		return nil
	case rtwire.Role_ROLE_AGENT:
		if err := checkNames(status.Target, status.Service); err != nil {
			return err
		}
		return checkLoad(status.Load)
	default:
		return fmt.Errorf("got role %d, want entry or agent", status.Role)
	}
}

func checkNames(names ...string) error {
	for _, name := range names {
		if !rtid.ValidName(name) {
			return fmt.Errorf("name %.80q: want 1 to 64 letters, digits, hyphens and underscores", name)
		}
	}
	return nil
}

func checkLoad(load *rtwire.Load) error {
	if load == nil {
		return nil
	}
	if load.Queued < 0 || load.Prefill < 0 || load.Used < 0 || load.Total < 0 {
		return errors.New("load has a negative number of tokens")
	}
	if math.IsNaN(load.Rate) || math.IsInf(load.Rate, 0) || load.Rate < 0 {
		return errors.New("rate of the load is negative or not finite")
	}
	return nil
}
