package rtnode

import (
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// Guards against malformed statuses that are stored instead of dropped.
func TestMalformedStatusIsDropped(t *testing.T) {
	tests := []struct {
		name   string
		change func(*rtwire.Status)
	}{
		{"no name", func(s *rtwire.Status) { s.Vm = "" }},
		{"name with a dot", func(s *rtwire.Status) { s.Target = "a.b" }},
		{"long name", func(s *rtwire.Status) { s.Zone = strings.Repeat("z", 1<<16) }},
		{"unknown role", func(s *rtwire.Status) { s.Role = 9 }},
		{"no role", func(s *rtwire.Status) { s.Role = 0 }},
		{"entry with a target", func(s *rtwire.Status) { s.Role = rtwire.Role_ROLE_ENTRY }},
		{"no service", func(s *rtwire.Status) { s.Service = "" }},
		{"address without a port", func(s *rtwire.Status) { s.Address = "10.0.0.1" }},
		{"address with a name", func(s *rtwire.Status) { s.Address = "host:80" }},
		{"no incarnation", func(s *rtwire.Status) { s.Incarnation = 0 }},
		{"negative age", func(s *rtwire.Status) { s.Confirmed = durationpb.New(-time.Second) }},
		{"negative load", func(s *rtwire.Status) { s.Load = &rtwire.Load{Queued: -1} }},
		{"rate is not a number", func(s *rtwire.Status) { s.Load = &rtwire.Load{Rate: math.NaN()} }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			node := New(Options{Network: &rtnet.TCP{}})
			status := agentStatus()
			test.change(status)
			node.HandleStatus(status)
			if peers := node.Dump().AlivePeers; len(peers) != 0 {
				t.Errorf("got peers %+v, want none", peers)
			}
		})
	}
	node := New(Options{Network: &rtnet.TCP{}})
	node.HandleStatus(agentStatus())
	node.HandleStatus(nil)
	if peers := node.Dump().AlivePeers; len(peers) != 1 {
		t.Errorf("got peers %+v, want only the sender of the valid status", peers)
	}
}

func agentStatus() *rtwire.Status {
	return &rtwire.Status{
		Vm: "vm-1", Role: rtwire.Role_ROLE_AGENT, Zone: "zone-1", Address: "10.0.0.1:7000",
		Incarnation: 1, Target: "target-1", Service: "summaries", Load: &rtwire.Load{Rate: 1},
	}
}
