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

// latencyOf returns a link with a base delay. Links have a quarter of jitter
// and, between zones, drop one packet in ten thousand.
func latencyOf(base time.Duration, loss float64) rtfake.Latency {
	return rtfake.Latency{Base: base, Jitter: base / 4, Loss: loss}
}

// lossBetween is the part of segments lost between zones.
const lossBetween = 1e-4

// setLinks sets the delays between zones and to callers.
func (d *Deployment) setLinks(fabric *rtfake.Network, fleet *rtfleet.Fleet) {
	hosts := zoneOfHosts(fleet)
	for from, zone := range hosts {
		for to, other := range hosts {
			if zone != other {
				fabric.SetLatency(from, to, latencyOf(d.ZoneLatency, lossBetween))
			}
		}
	}
	for i, entry := range fleet.Entries {
		fabric.SetLatency(callerHost(i), entry.Host, latencyOf(d.CallerLatency, 0))
		fabric.SetLatency(entry.Host, callerHost(i), latencyOf(d.CallerLatency, 0))
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

// probe sends one short draft.
func probe(ctx context.Context, caller rtfleet.Caller) error {
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := rtapi.DraftRequest{Service: string(draftService), Prompt: "probe", Output: 1, Limit: limit.String()}
	draft, err := caller.Draft(ctx, request, nil)
	if err != nil {
		return err
	}
	if draft.Outcome != rtapi.Done {
		return errors.New("probe: " + draft.Outcome.String() + " " + string(draft.Reason))
	}
	return nil
}

// pause waits.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
