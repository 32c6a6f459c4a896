package rtnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// The size to design for.
const (
	designEntries       = 2_300
	designAgents        = 10_000
	designZones         = 12
	designModels        = 9
	designOrganisations = 220
)

// countingNetwork is TCP that counts the bytes of its connections.
type countingNetwork struct {
	rtnet.TCP
	bytes  atomic.Int64
	writes atomic.Int64
}

func (n *countingNetwork) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	connection, err := n.TCP.Dial(ctx, address)
	return &countingConnection{Conn: connection, network: n}, err
}

type countingConnection struct {
	net.Conn
	network *countingNetwork
}

func (c *countingConnection) Read(p []byte) (int, error) {
	size, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(size))
	return size, err
}

func (c *countingConnection) Write(p []byte) (int, error) {
	size, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(size))
	c.network.writes.Add(1)
	return size, err
}

// newBenchNode returns a node with names as long as those of a large fleet.
func newBenchNode(network rtnet.Network, role rtwire.Role, address rtid.Address) *Node {
	options := Options{
		Settings: rtsettings.Common{VM: "entry-region-1-0001", Zone: "region-1-zone-a", Peers: address},
		Role:     role,
		Network:  network,
	}
	if role == rtwire.Role_ROLE_AGENT {
		options.Settings.VM = "agent-region-1-00001"
		options.Target = "engine-region-1-00001"
		options.Service = "summaries-model-1"
		options.Epoch = func() rtid.Epoch { return 140 }
		options.Load = func() *rtwire.Load {
			return &rtwire.Load{
				Queued: 123_456, Prefill: 234_567, Running: 123, Limit: 200, Slots: 256,
				Rate: 12_345.6, Used: 1_234_567, Total: 2_345_678,
			}
		}
	}
	node := New(options)
	node.incarnation = rtid.NewIncarnation(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	node.store.Offer(6_700, designDocument())
	node.confirm()
	return node
}

// servedPair returns an entry and an agent served over loopback TCP, and the
// network of the entry.
func servedPair(b *testing.B) (entry *Node, agent rtid.Address, network *countingNetwork) {
	b.Helper()
	network = &countingNetwork{}
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	agent = rtid.Address(listener.Addr().String())
	node := newBenchNode(network, rtwire.Role_ROLE_AGENT, agent)
	server := &http.Server{Handler: node.Handler()}
	task := rttask.Start(b.Context(), "serve", func(context.Context) error { return server.Serve(listener) })
	b.Cleanup(func() {
		_ = server.Close()
		<-task.Done()
	})
	return newBenchNode(network, rtwire.Role_ROLE_ENTRY, "127.0.0.1:1"), agent, network
}

// Processor time of both sides and bytes of one exchange over loopback.
func BenchmarkHello(b *testing.B) {
	entry, agent, network := servedPair(b)
	if _, err := entry.hello(b.Context(), agent); err != nil {
		b.Fatal(err)
	}
	network.bytes.Store(0)
	before := processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := entry.hello(b.Context(), agent); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(network.bytes.Load())/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
}

func designDocument() []byte {
	document := rtdocument.Document{Revision: 6_700, Base: 6_699}
	var services []rtid.Service
	for i := range designModels {
		name := rtid.Service(fmt.Sprintf("summaries-model-%d", i))
		services = append(services, name)
		model := rtid.Model(fmt.Sprintf("model-%d", i))
		document.Services = append(document.Services, rtdocument.Service{Name: name, Kind: rtdocument.KindDraft, Model: model})
	}
	for i := range designZones {
		capacity := make(map[rtid.Service]float64)
		for j, service := range services {
			capacity[service] = 1_234.5 + float64(j)
		}
		name := rtid.Zone(fmt.Sprintf("region-%d-zone-%c", i/3, 'a'+i%3))
		document.Zones = append(document.Zones, rtdocument.Zone{Name: name, State: rtdocument.StateIn, Capacity: capacity})
	}
	for i := range designOrganisations {
		name := rtid.Organisation(fmt.Sprintf("organisation-%03d", i))
		// Different services and shares, or the document packs too well.
		reach := services[i%3 : 4+i*7%6]
		share := float64(1+i*7919%4_000) / 1_000_000
		organisation := rtdocument.Organisation{Name: name, Services: reach, Share: share}
		document.Organisations = append(document.Organisations, organisation)
	}
	body, err := rtdocument.Encode(&document)
	if err != nil {
		panic(err)
	}
	return body
}

// designMembers returns the list of VMs at the size to design for.
func designMembers() []rtplatform.Member {
	var members []rtplatform.Member
	for i := range designEntries + designAgents {
		zone := i % designZones
		member := rtplatform.Member{
			VM:      rtid.VM(fmt.Sprintf("entry-region-%d-%05d", zone/3, i)),
			Role:    rtplatform.RoleEntry,
			Zone:    rtid.Zone(fmt.Sprintf("region-%d-zone-%c", zone/3, 'a'+zone%3)),
			Address: rtid.Address(fmt.Sprintf("10.%d.%d.%d:7000", zone, i/200, i%200+1)),
			State:   rtplatform.StateLive,
		}
		if i >= designEntries {
			member.VM = rtid.VM(fmt.Sprintf("agent-region-%d-%05d", zone/3, i))
			member.Role = rtplatform.RoleAgent
			member.Target = rtid.Target(fmt.Sprintf("engine-region-%d-%05d", zone/3, i))
			member.Service = rtid.Service(fmt.Sprintf("summaries-model-%d", i/designZones%designModels))
		}
		members = append(members, member)
	}
	return members
}

// heapAfter returns the bytes in use after a collection.
func heapAfter() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
