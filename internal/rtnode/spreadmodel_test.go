package rtnode

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
)

// hopDuration is how long one process takes in the model to pass a document to
// the next: four one-way latencies between regions and the CPU time of a pull.
const hopDuration = 500 * time.Millisecond

// BenchmarkSpreadModel computes how long a document takes to reach all
// processes at the design size, with the real subsets and interval. It is a
// model: the peers that are sent a Hello at once are random, whether or not
// they have the document, and a fraction of all calls is lost.
func BenchmarkSpreadModel(b *testing.B) {
	links := designLinks()
	tests := []struct {
		readers, pushPeers int
		lossRate           float64
	}{{24, documentPushPeers, 0}, {24, documentPushPeers, 0.2}, {1, documentPushPeers, 0}, {1, documentPushPeers, 0.2}, {1, 0, 0}, {1, 0, 0.2}}
	for _, test := range tests {
		b.Run(fmt.Sprintf("readers=%d/news=%d/lost=%.0f%%", test.readers, test.pushPeers, 100*test.lossRate), func(b *testing.B) {
			var longest time.Duration
			for seed := uint64(0); b.Loop(); seed++ {
				model := newSpreadModel(links, test.lossRate, seed)
				model.pushPeers = test.pushPeers
				longest = max(longest, model.run(test.readers))
			}
			b.ReportMetric(longest.Seconds(), "s-longest")
		})
	}
}

// designLinks returns the peers of each process: the agents of each entry,
// and the entries of each agent.
func designLinks() [][]int {
	members := designMembers()
	index := make(map[rtid.VM]int)
	for i, member := range members {
		index[member.VM] = i
	}
	links := make([][]int, len(members))
	for i, entry := range members[:designEntries] {
		for _, agent := range rtmember.Subset(entry, members, rtmember.SubsetLimit) {
			j := index[agent.VM]
			links[i] = append(links[i], j)
			links[j] = append(links[j], i)
		}
	}
	return links
}

// arrival is a call with which a process gets the document.
type arrival struct {
	at      time.Duration
	process int
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type spreadModel struct {
	links     [][]int
	lossRate  float64
	pushPeers int // peers that are sent a Hello at once
	interval  time.Duration
	random    *rand.Rand
	queue     arrivals
}

func newSpreadModel(links [][]int, lossRate float64, seed uint64) *spreadModel {
	fleet := rtmember.FleetSize{Subset: rtmember.SubsetLimit, Entries: designEntries, Agents: designAgents}
	return &spreadModel{
		links: links, lossRate: lossRate, interval: rtmember.HeartbeatInterval(defaultHeartbeat, fleet, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// run returns the time at which the last process has the document.
func (s *spreadModel) run(readers int) time.Duration {
	for range readers {
		heap.Push(&s.queue, arrival{0, s.random.IntN(len(s.links))})
	}
	reached := make([]bool, len(s.links))
	var last time.Duration
	for remaining := len(s.links); remaining > 0; {
		next := heap.Pop(&s.queue).(arrival)
		if reached[next.process] {
			continue
		}
		reached[next.process] = true
		last = next.at
		remaining--
		s.queueCalls(next)
	}
	return last
}

// queueCalls queues the calls of a process that has just got the document: a
// Hello to some peers at once, and a heartbeat with each peer.
func (s *spreadModel) queueCalls(from arrival) {
	peers := s.links[from.process]
	for range s.pushPeers {
		if s.random.Float64() >= s.lossRate {
			peer := peers[s.random.IntN(len(peers))]
			heap.Push(&s.queue, arrival{from.at + hopDuration, peer})
		}
	}
	for _, peer := range peers {
		heartbeatDelay := time.Duration(s.random.Int64N(int64(s.interval)))
		for s.random.Float64() < s.lossRate {
			heartbeatDelay += s.interval
		}
		heap.Push(&s.queue, arrival{from.at + heartbeatDelay + hopDuration, peer})
	}
}
