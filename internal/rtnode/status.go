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

// confirmationStep is the least gain for which a confirmation is taken from a
// peer. Ages do not include the time on the wire: without a step, processes
// that exchange one confirmation often would make it younger each time.
const confirmationStep = time.Second

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
		Leaving:     n.leaving,
		Ready:       n.ready,
		Target:      string(n.self.Target),
		Service:     string(n.self.Service),
	}
	if !n.confirmed.IsZero() {
		status.Confirmed = durationpb.New(time.Since(n.confirmed))
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

// Observe takes in a status that came with any exchange, as a heartbeat. A
// malformed one is dropped and counted.
func (n *Node) HandleStatus(status *rtwire.Status) {
	if n.observe(status, time.Now()) && n.behind(status) {
		n.queuePull(status)
	}
}

// observe takes in a status that was made at or after the instant made, and
// reports whether it did.
func (n *Node) observe(status *rtwire.Status, made time.Time) bool {
	if err := check(status); err != nil {
		n.counters.malformed.Inc(1)
		n.options.Log.V(1).Info("Status dropped.", "error", err.Error())
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
		found := made.Add(-status.Confirmed.AsDuration())
		if found.Sub(n.confirmed) > confirmationStep {
			n.confirmed = found
			n.confirmedBy = true
		}
	}
	return true
}

// confirm notes that the platform has just shown the version in force to be
// the newest one.
func (n *Node) confirm() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.confirmed = time.Now()
}

var errNoStatus = errors.New("no status")

// check returns an error if a status is malformed.
func check(status *rtwire.Status) error {
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
		return errors.New("no incarnation")
	}
	if status.Confirmed != nil && (!status.Confirmed.IsValid() || status.Confirmed.AsDuration() < 0) {
		return errors.New("age of the confirmation is not valid")
	}
	switch status.Role {
	case rtwire.Role_ROLE_ENTRY:
		if status.Target != "" || status.Service != "" {
			return errors.New("entry with a target")
		}
		return nil
	case rtwire.Role_ROLE_AGENT:
		if err := checkNames(status.Target, status.Service); err != nil {
			return err
		}
		return checkLoad(status.Load)
	default:
		return fmt.Errorf("unknown role %d", status.Role)
	}
}

func checkNames(names ...string) error {
	for _, name := range names {
		if !rtid.ValidName(name) {
			return fmt.Errorf("name %.80q is not valid", name)
		}
	}
	return nil
}

func checkLoad(load *rtwire.Load) error {
	if load == nil {
		return nil
	}
	if load.Queued < 0 || load.Prefill < 0 || load.Used < 0 || load.Total < 0 {
		return errors.New("load is negative")
	}
	if math.IsNaN(load.Rate) || math.IsInf(load.Rate, 0) || load.Rate < 0 {
		return errors.New("rate is not valid")
	}
	return nil
}
