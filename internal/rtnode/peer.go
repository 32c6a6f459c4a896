package rtnode

import (
	"context"
	"net/http"

	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// maxMessage bounds a control message between processes.
const maxMessage = 3 << 19 // 1.5 MiB

// peerServer answers the calls of other processes.
type peerServer struct {
	node *Node
}

// Handler returns the handler of the Peer service.
func (n *Node) Handler() http.Handler {
	return http.MaxBytesHandler(rtwire.NewPeerServer(peerServer{node: n}), maxMessage)
}

// Hello takes in the caller's status and returns the status of this process.
func (s peerServer) Hello(_ context.Context, status *rtwire.Status) (*rtwire.Status, error) {
	s.node.Observe(status)
	return s.node.Status(), nil
}

// Document returns the document in force if it is newer than the caller's.
func (s peerServer) Document(_ context.Context, request *rtwire.DocumentRequest) (*rtwire.DocumentReply, error) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := &rtwire.DocumentReply{Version: uint64(n.version)}
	if reply.Version > request.After {
		reply.Body = n.body
	}
	return reply, nil
}

// Roster returns the list of VMs if it is newer than the caller's.
func (s peerServer) Roster(_ context.Context, request *rtwire.RosterRequest) (*rtwire.RosterReply, error) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := &rtwire.RosterReply{Version: uint64(n.roster)}
	if reply.Version > request.After {
		for _, member := range n.members {
			reply.Members = append(reply.Members, member)
		}
	}
	return reply, nil
}
