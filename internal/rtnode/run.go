package rtnode

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Intervals and time limits of control calls.
const (
	defaultHeartbeat = time.Second
	retryInterval    = time.Second
	watchLimit       = 40 * time.Second // the platform ends a watch after 30 s
)

// Run learns the configuration and the list of VMs, then exchanges heartbeats
// until the context ends.
func (n *Node) Run(ctx context.Context) error {
	tasks := []*rttask.Task{
		rttask.Start(ctx, "documents", n.watchDocuments),
		rttask.Start(ctx, "vms", n.watchVMs),
	}
	if n.options.Role == rtwire.Role_ROLE_ENTRY {
		tasks = append(tasks, rttask.Start(ctx, "heartbeats", n.sendHeartbeats))
	}
	var errs []error
	for _, task := range tasks {
		errs = append(errs, <-task.Done())
	}
	return errors.Join(errs...)
}

func (n *Node) platform() platform {
	return platform{client: n.client, address: n.options.Settings.Platform}
}

func (n *Node) watchDocuments(ctx context.Context) error {
	for ctx.Err() == nil {
		after, _ := n.Document()
		call, cancel := context.WithTimeout(ctx, watchLimit)
		version, body, err := n.platform().document(call, after)
		cancel()
		if err == nil {
			err = n.offer(version, body)
		}
		if err != nil {
			pause(ctx, retryInterval)
		}
	}
	return nil
}

// offer puts a document in force if its version is higher.
func (n *Node) offer(version rtid.Version, body []byte) error {
	document := &rtdocument.Document{}
	if err := json.Unmarshal(body, document); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.version {
		return nil
	}
	if n.version == 0 {
		close(n.started)
	}
	n.version = version
	n.document = document
	n.body = body
	close(n.changed)
	n.changed = make(chan struct{})
	return nil
}

func (n *Node) watchVMs(ctx context.Context) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		after := n.roster
		n.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, watchLimit)
		version, members, err := n.platform().vms(call, after)
		cancel()
		if err != nil {
			pause(ctx, retryInterval)
			continue
		}
		n.setMembers(version, members)
	}
	return nil
}

func (n *Node) setMembers(version rtid.Version, members []*rtwire.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.roster {
		return
	}
	n.roster = version
	n.members = make(map[rtid.VM]*rtwire.Member, len(members))
	for _, member := range members {
		n.members[rtid.VM(member.Vm)] = member
	}
}

func (n *Node) sendHeartbeats(ctx context.Context) error {
	for ctx.Err() == nil {
		for _, address := range n.agents() {
			rttask.Start(ctx, "hello", func(ctx context.Context) error {
				return n.hello(ctx, address)
			})
		}
		pause(ctx, n.heartbeat())
	}
	return nil
}

func (n *Node) heartbeat() time.Duration {
	if interval := time.Duration(n.options.Settings.Heartbeat); interval > 0 {
		return interval
	}
	return defaultHeartbeat
}

func (n *Node) agents() []rtid.Address {
	n.mu.Lock()
	defer n.mu.Unlock()
	var addresses []rtid.Address
	for _, member := range n.members {
		if member.Role == rtwire.Role_ROLE_AGENT {
			addresses = append(addresses, rtid.Address(member.Address))
		}
	}
	return addresses
}

func (n *Node) hello(ctx context.Context, address rtid.Address) error {
	ctx, cancel := context.WithTimeout(ctx, n.heartbeat())
	defer cancel()
	peer := rtwire.NewPeerProtobufClient("http://"+string(address), n.client)
	reply, err := peer.Hello(ctx, n.Status())
	if err != nil {
		return err
	}
	n.Observe(reply)
	return nil
}

// pause waits for the duration or the end of the context.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
