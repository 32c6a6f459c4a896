package rtnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

const (
	// maxMessage bounds a control message between processes.
	maxMessage rtid.Bytes = 3 << 19 // 1.5 MiB

	// callLimit bounds one control call. It leaves time for a second try
	// within the 5 s that a change may take.
	callLimit = 2 * time.Second
)

// peerServer answers the calls of other processes.
type peerServer struct {
	node *Node
}

// Handler returns the handler of the Peer service.
func (n *Node) Handler() http.Handler {
	return http.MaxBytesHandler(rtwire.NewPeerServer(peerServer{node: n}), int64(maxMessage))
}

// Hello takes in the caller's status and returns the status of this process.
func (s peerServer) Hello(_ context.Context, status *rtwire.Status) (*rtwire.Status, error) {
	s.node.counters.served.Inc(1)
	s.node.Observe(status)
	return s.node.Status(), nil
}

// Document returns the document in force if it is newer than the caller's.
func (s peerServer) Document(_ context.Context, request *rtwire.DocumentRequest) (*rtwire.DocumentReply, error) {
	current := s.node.store.Current()
	reply := &rtwire.DocumentReply{Version: uint64(current.Version)}
	if reply.Version > request.After {
		reply.Body = current.Body
	}
	return reply, nil
}

// Roster returns what changed in the list of VMs since the caller's version.
func (s peerServer) Roster(_ context.Context, request *rtwire.RosterRequest) (*rtwire.RosterReply, error) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	roster := n.table.Roster()
	if uint64(roster.Version()) <= request.After {
		return &rtwire.RosterReply{Version: uint64(roster.Version())}, nil
	}
	return replyOf(roster.Since(rtid.Version(request.After))), nil
}

// peer returns the client of the process at an address.
func (n *Node) peer(address rtid.Address) rtwire.Peer {
	return rtwire.NewPeerProtobufClient("http://"+string(address), n.peers)
}

// hello exchanges status with the process at an address and returns its
// status, already observed.
func (n *Node) hello(ctx context.Context, address rtid.Address) (*rtwire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := time.Now()
	n.counters.sent.Inc(1)
	reply, err := n.peer(address).Hello(ctx, n.Status())
	if err != nil {
		n.counters.unanswered.Inc(1)
		return nil, fmt.Errorf("hello to %s: %w", address, err)
	}
	n.observe(reply, sent)
	return reply, nil
}

// boundedClient cuts off replies over a limit, which then fail to decode.
type boundedClient struct {
	client *http.Client
	limit  rtid.Bytes
}

// Do sends a request.
func (c boundedClient) Do(request *http.Request) (*http.Response, error) {
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body = boundedBody{Reader: io.LimitReader(response.Body, int64(c.limit)), Closer: response.Body}
	return response, nil
}

type boundedBody struct {
	io.Reader
	io.Closer
}
