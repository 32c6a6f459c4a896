package rtload

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfleet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/pkg/rtapi"
)

// callerHost returns the host of the callers of an entry.
func callerHost(entry int) string {
	return fmt.Sprintf("10.9.0.%d", entry+1)
}

// linkLatency returns the latency of a link with a base delay. The jitter is a
// quarter of the base delay.
func linkLatency(base time.Duration, loss float64) rtfake.Latency {
	return rtfake.Latency{Base: base, Jitter: base / 4, Loss: loss}
}

// crossZoneLoss is the fraction of segments lost between zones: one in ten
// thousand.
const crossZoneLoss = 1e-4

// setLatencies sets the latencies between zones and between callers and entries.
func (d *Deployment) setLatencies(fabric *rtfake.Network, fleet *rtfleet.Fleet) {
	hosts := zoneOfHosts(fleet)
	for from, zone := range hosts {
		for to, other := range hosts {
			if zone != other {
				fabric.SetLatency(from, to, linkLatency(d.ZoneLatency, crossZoneLoss))
			}
		}
	}
	for i, entry := range fleet.Entries {
		fabric.SetLatency(callerHost(i), entry.Host, linkLatency(d.CallerLatency, 0))
		fabric.SetLatency(entry.Host, callerHost(i), linkLatency(d.CallerLatency, 0))
	}
}

// zoneOfHosts returns the zone of each host of the fleet.
func zoneOfHosts(fleet *rtfleet.Fleet) map[string]rtid.Zone {
	hosts := make(map[string]rtid.Zone)
	for _, entry := range fleet.Entries {
		hosts[entry.Host] = entry.Zone
	}
	for _, agent := range fleet.Agents {
		hosts[agent.Host] = agent.Zone
		hosts[fleet.HostOf[agent.Target]] = agent.Zone
	}
	return hosts
}

// sendProbe sends one short draft and returns an error unless it ends as done.
func sendProbe(ctx context.Context, caller rtfleet.Caller) error {
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := rtapi.DraftRequest{Service: string(draftService), Prompt: "probe", Output: 1, Limit: limit.String()}
	draft, err := caller.Draft(ctx, request, nil)
	if err != nil {
		return err
	}
	if draft.Outcome != rtapi.Done {
		return errors.New("probe draft not done: " + draft.Outcome.String() + " " + string(draft.Reason))
	}
	return nil
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
