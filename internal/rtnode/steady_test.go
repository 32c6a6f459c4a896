package rtnode

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// oneAgentNetwork connects every dial except those to the platform to one
// agent, so that a list of 10,000 agents can be used with one listener.
type oneAgentNetwork struct {
	countingNetwork
	platform, agent rtid.Address
}

func (n *oneAgentNetwork) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	if address != n.platform {
		address = n.agent
	}
	return n.countingNetwork.Dial(ctx, address)
}

// BenchmarkEntrySteady runs one entry with the list of VMs at the design size
// and a subset of 100 over loopback, in real time. The CPU time includes that
// of the agent.
func BenchmarkEntrySteady(b *testing.B) {
	const settle, span = 12 * time.Second, 30 * time.Second
	network := &oneAgentNetwork{}
	agent := newBenchNode(network, rtwire.Role_ROLE_AGENT)
	network.agent = serveBench(b, &network.countingNetwork, agent.Handler())
	member := designMembers()[designEntries]
	agent.self = member
	published := &rtfake.Platform{MaxReadRate: -1}
	published.PublishVersion(6_700, designDocument())
	published.SetVMs(designMembers(), 0)
	network.platform = serveBench(b, &network.countingNetwork, published)
	for b.Loop() {
		before := memoryInUse()
		entry := newBenchNode(network, rtwire.Role_ROLE_ENTRY)
		entry.platform.Address = network.platform
		run := rttask.Start(b.Context(), "entry", entry.Run)
		sleep(b.Context(), settle)
		network.bytes.Store(0)
		interval, cpu := entry.currentInterval(), cpuTime(b)
		sleep(b.Context(), span)
		b.ReportMetric(float64(network.bytes.Load())/span.Seconds(), "http-B/s")
		b.ReportMetric(100*float64(cpuTime(b)-cpu)/float64(span), "%core")
		b.ReportMetric(interval.Seconds(), "s-interval")
		b.ReportMetric(float64(memoryInUse()-before)/1e6, "MB")
		if err := run.Stop(); err != nil {
			b.Fatal(err)
		}
	}
}
