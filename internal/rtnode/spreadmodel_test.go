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

// hopTime is what one process needs to pass a document on to the next in the
// model: four ways between regions and the processor time of a pull.
const hopTime = 500 * time.Millisecond

// BenchmarkSpreadModel computes how long a document takes to all processes at
// the size to design for, with the real subsets and interval. It is a model:
// peers for news are chosen at random, whatever they know, and a share of all
// calls is lost.
func BenchmarkSpreadModel(b *testing.B) {
	links := designLinks()
	tests := []struct {
		readers, news int
		lost          float64
	}{{24, newsPeers, 0}, {24, newsPeers, 0.2}, {1, newsPeers, 0}, {1, newsPeers, 0.2}, {1, 0, 0}, {1, 0, 0.2}}
	for _, test := range tests {
		b.Run(fmt.Sprintf("readers=%d/news=%d/lost=%.0f%%", test.readers, test.news, 100*test.lost), func(b *testing.B) {
			var longest time.Duration
			for seed := uint64(0); b.Loop(); seed++ {
				model := newSpread(links, test.lost, seed)
				model.news = test.news
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

// arrival is a call that brings the document to a process.
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

type spread struct {
	links    [][]int
	lost     float64
	news     int // peers that get a Hello at once
	interval time.Duration
	random   *rand.Rand
	queue    arrivals
}

func newSpread(links [][]int, lost float64, seed uint64) *spread {
	fleet := rtmember.FleetSize{Subset: rtmember.SubsetLimit, Entries: designEntries, Agents: designAgents}
	return &spread{
		links: links, lost: lost, interval: rtmember.HeartbeatInterval(defaultHeartbeat, fleet, 0),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// run returns when the last process has the document.
func (s *spread) run(readers int) time.Duration {
	for range readers {
		heap.Push(&s.queue, arrival{0, s.random.IntN(len(s.links))})
	}
	held := make([]bool, len(s.links))
	var last time.Duration
	for left := len(s.links); left > 0; {
		next := heap.Pop(&s.queue).(arrival)
		if held[next.process] {
			continue
		}
		held[next.process] = true
		last = next.at
		left--
		s.passOn(next)
	}
	return last
}

// passOn queues the calls of a process that has just got the document: news
// to some peers at once, and a heartbeat with each peer.
func (s *spread) passOn(from arrival) {
	peers := s.links[from.process]
	for range s.news {
		if s.random.Float64() >= s.lost {
			peer := peers[s.random.IntN(len(peers))]
			heap.Push(&s.queue, arrival{from.at + hopTime, peer})
		}
	}
	for _, peer := range peers {
		beat := time.Duration(s.random.Int64N(int64(s.interval)))
		for s.random.Float64() < s.lost {
			beat += s.interval
		}
		heap.Push(&s.queue, arrival{from.at + beat + hopTime, peer})
	}
}
