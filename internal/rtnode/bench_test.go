package rtnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtconfig"
	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtfake"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
	"github.com/rhubarbtally/rhubarbtally/internal/rtsettings"
	"github.com/rhubarbtally/rhubarbtally/internal/rttask"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// The design size of a fleet.
const (
	designEntries       = 2_300
	designAgents        = 10_000
	designZones         = 12
	designModels        = 9
	designOrganisations = 220
)

// countingNetwork is TCP that counts the bytes read and written on its
// connections.
type countingNetwork struct {
	rtnet.TCP
	bytes atomic.Int64
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
	return size, err
}

// newBenchNode returns a node with names as long as those of a large fleet.
func newBenchNode(network rtnet.Network, role rtwire.Role) *Node {
	options := Options{
		Settings: rtsettings.Common{VM: "entry-region-1-0001", Zone: "region-1-zone-a", PeerAddress: "127.0.0.1:1"},
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
	if node.store.Apply(6_700, designDocument()) != rtconfig.Accepted {
		refusal, _ := node.store.Refusal()
		panic(fmt.Sprint(refusal.Findings))
	}
	node.markConfirmed()
	return node
}

// servedPair returns an entry, the address of an agent served over loopback
// TCP, and the network of both.
func servedPair(b *testing.B) (entry *Node, agent rtid.Address, network *countingNetwork) {
	b.Helper()
	entry, agent, network, _ = servedNodes(b)
	return entry, agent, network
}

func servedNodes(b *testing.B) (entry *Node, agent rtid.Address, network *countingNetwork, node *Node) {
	b.Helper()
	network = &countingNetwork{}
	node = newBenchNode(network, rtwire.Role_ROLE_AGENT)
	agent = serveBench(b, network, node.Handler())
	node.self.Address = agent
	return newBenchNode(network, rtwire.Role_ROLE_ENTRY), agent, network, node
}

// BenchmarkHello measures the CPU time of both sides and the bytes of one Hello
// over loopback.
func BenchmarkHello(b *testing.B) {
	entry, agent, network := servedPair(b)
	measure(b, network, func() error {
		_, err := entry.hello(b.Context(), agent)
		return err
	})
}

// BenchmarkHelloServed measures the CPU time of the serving side: the client
// only writes a prepared request and reads the reply.
func BenchmarkHelloServed(b *testing.B) {
	entry, agent, network := servedPair(b)
	connection, err := network.Dial(b.Context(), agent)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	request := helloRequest(b, entry, agent)
	reply := make([]byte, 4<<10)
	measure(b, network, func() error {
		if _, err := connection.Write(request); err != nil {
			return err
		}
		size, err := connection.Read(reply)
		if err == nil && !bytes.HasPrefix(reply[:size], []byte("HTTP/1.1 200")) {
			err = fmt.Errorf("got reply %q, want status 200", reply[:size])
		}
		return err
	})
}

func helloRequest(b *testing.B, entry *Node, agent rtid.Address) []byte {
	b.Helper()
	body, err := proto.Marshal(entry.Status())
	if err != nil {
		b.Fatal(err)
	}
	head := fmt.Sprintf("POST %sHello HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nContent-Type: application/protobuf\r\n\r\n",
		rtwire.PeerPathPrefix, agent, len(body))
	return append([]byte(head), body...)
}

// BenchmarkDocumentPull pulls a new document from a peer over loopback, checks
// it and compresses it for the next peer.
func BenchmarkDocumentPull(b *testing.B) {
	entry, agent, network := servedPair(b)
	measure(b, network, func() error {
		entry.store = rtconfig.New(rtdocument.Decode)
		entry.compressed = compressedDocument{}
		if err := entry.pullDocument(b.Context(), agent); err != nil {
			return err
		}
		if len(entry.compressed.bodyOf(entry.store.Current())) == 0 {
			return errors.New("no document")
		}
		return nil
	})
}

// BenchmarkMemoryOfVM measures the memory of the list of VMs at the design
// size, and of the last statuses of as many processes.
func BenchmarkMemoryOfVM(b *testing.B) {
	for b.Loop() {
		node := New(Options{Network: &rtnet.TCP{}})
		members := designMembers()
		empty := heapInUse()
		node.applyRosterDelta(rtmember.Delta{Version: 1, Members: cloneMembers(members)})
		listed := heapInUse()
		for _, member := range members {
			node.HandleStatus(benchStatus(member))
		}
		stored := heapInUse()
		count := float64(len(members))
		b.ReportMetric(float64(listed-empty)/count, "listed-B/vm")
		b.ReportMetric(float64(stored-listed)/count, "heard-B/vm")
		runtime.KeepAlive(node)
		runtime.KeepAlive(members)
	}
}

// cloneMembers copies the strings too, as decoding a list does.
func cloneMembers(members []rtplatform.Member) []rtplatform.Member {
	var clones []rtplatform.Member
	for _, member := range members {
		clones = append(clones, memberOf(proto.Clone(wireMember(member)).(*rtwire.Member)))
		last := &clones[len(clones)-1]
		last.VM = rtid.VM(strings.Clone(string(last.VM)))
		last.Zone = rtid.Zone(strings.Clone(string(last.Zone)))
		last.Address = rtid.Address(strings.Clone(string(last.Address)))
		last.Target = rtid.Target(strings.Clone(string(last.Target)))
		last.Service = rtid.Service(strings.Clone(string(last.Service)))
	}
	return clones
}

func benchStatus(member rtplatform.Member) *rtwire.Status {
	status := &rtwire.Status{
		Vm: string(member.VM), Role: wireMember(member).Role, Zone: string(member.Zone), Address: string(member.Address),
		Incarnation: 1, Version: 1, Roster: 1, Confirmed: durationpb.New(time.Second),
		Target: string(member.Target), Service: string(member.Service),
	}
	if member.Role == rtplatform.RoleAgent {
		status.Load = &rtwire.Load{Queued: 1, Running: 1, Limit: 1, Slots: 1, Rate: 1}
	}
	return status
}

// BenchmarkMemoryOfDocument measures the memory of a document in force:
// decoded, as published and compressed.
func BenchmarkMemoryOfDocument(b *testing.B) {
	published := designDocument()
	for b.Loop() {
		before := heapInUse()
		store := rtconfig.New(rtdocument.Decode)
		store.Apply(1, bytes.Clone(published))
		var compressed compressedDocument
		compressed.bodyOf(store.Current())
		b.ReportMetric(float64(heapInUse()-before), "held-B")
		b.ReportMetric(float64(len(published)), "published-B")
		b.ReportMetric(float64(len(compressed.bodyOf(store.Current()))), "packed-B")
	}
}

// BenchmarkMemoryOfConnection measures the memory and goroutines of both ends
// of open heartbeat connections.
func BenchmarkMemoryOfConnection(b *testing.B) {
	const connections = 100
	for b.Loop() {
		_, agent, _ := servedPair(b)
		before, goroutines := memoryInUse(), runtime.NumGoroutine()
		var entries []*Node
		for range connections {
			entry := newBenchNode(&rtnet.TCP{}, rtwire.Role_ROLE_ENTRY)
			entries = append(entries, entry)
		}
		nodes := memoryInUse()
		for _, entry := range entries {
			if _, err := entry.hello(b.Context(), agent); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-nodes)/connections, "B/connection")
		b.ReportMetric(float64(nodes-before)/connections, "B/node")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/connections, "goroutines/connection")
		for _, entry := range entries {
			entry.peers.client.CloseIdleConnections()
		}
	}
}

// BenchmarkRosterPull pulls the change of one VM from a peer over loopback.
func BenchmarkRosterPull(b *testing.B) {
	entry, agent, network, node := servedNodes(b)
	members := designMembers()
	node.applyRosterDelta(rtmember.Delta{Version: 1, Members: members})
	entry.applyRosterDelta(rtmember.Delta{Version: 1, Members: members})
	version := rtid.Version(1)
	measure(b, network, func() error {
		version++
		changed := members[0]
		changed.Address = rtid.Address(fmt.Sprintf("10.0.0.1:%d", 1+version%60_000))
		node.applyRosterDelta(rtmember.Delta{Base: version - 1, Version: version, Members: []rtplatform.Member{changed}})
		return entry.pullRoster(b.Context(), agent)
	})
}

// BenchmarkListRead reads the whole list of VMs at the design size, as a
// designated reader does when one VM has changed.
func BenchmarkListRead(b *testing.B) {
	network := &countingNetwork{}
	platform := &rtfake.Platform{MaxReadRate: -1}
	node := newBenchNode(network, rtwire.Role_ROLE_AGENT)
	node.platform.Address = serveBench(b, network, platform)
	members := designMembers()
	measure(b, network, func() error {
		members[0].Address = rtid.Address(fmt.Sprintf("10.0.0.1:%d", 1+node.rosterVersion()%60_000))
		platform.SetVMs(members, 0)
		version, list, err := node.platform.VMs(b.Context(), 0)
		if err == nil && !node.applyPlatformList(version, list) {
			err = errors.New("list is not newer")
		}
		return err
	})
}

func serveBench(b *testing.B, network *countingNetwork, handler http.Handler) rtid.Address {
	b.Helper()
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	task := rttask.Start(b.Context(), "serve", func(context.Context) error { return server.Serve(listener) })
	b.Cleanup(func() {
		if err := errors.Join(server.Close(), <-task.Done()); !errors.Is(err, http.ErrServerClosed) {
			b.Error(err)
		}
	})
	return rtid.Address(listener.Addr().String())
}

// measure runs an exchange repeatedly and reports the CPU time of the process
// and the bytes of its connections.
func measure(b *testing.B, network *countingNetwork, exchange func() error) {
	b.Helper()
	if err := exchange(); err != nil {
		b.Fatal(err)
	}
	network.bytes.Store(0)
	before := cpuTime(b)
	for b.Loop() {
		if err := exchange(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(network.bytes.Load())/float64(b.N), "wire-B/op")
}

func designDocument() []byte {
	document := rtdocument.Document{Revision: 6_700, Base: 6_699}
	random := rand.New(rand.NewPCG(1, 2))
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
			capacity[service] = float64(100*j + random.IntN(2_000))
		}
		name := rtid.Zone(fmt.Sprintf("region-%d-zone-%c", i/3, 'a'+i%3))
		document.Zones = append(document.Zones, rtdocument.Zone{Name: name, State: rtdocument.ZoneInService, Capacity: capacity})
	}
	for i := range designOrganisations {
		name := rtid.Organisation(fmt.Sprintf("organisation-%03d", i))
		// Random services and shares, because a regular document would compress
		// too well.
		first := random.IntN(designModels)
		allowed := services[first : first+1+random.IntN(designModels-first)]
		share := float64(1+random.IntN(1_000_000)) / 1_000_000 / designOrganisations
		organisation := rtdocument.Organisation{Name: name, Services: allowed, Share: share}
		document.Organisations = append(document.Organisations, organisation)
	}
	body, err := rtdocument.Encode(&document)
	if err != nil {
		panic(err)
	}
	return body
}

// designMembers returns the list of VMs at the design size.
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

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() int64 {
	stats := memStatsAfterGC()
	return int64(stats.HeapAlloc)
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() int64 {
	stats := memStatsAfterGC()
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func memStatsAfterGC() runtime.MemStats {
	// The second collection frees objects that finalizers kept alive.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats
}
