package rtnode

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
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
	server := rtwire.NewPeerServer(peerServer{node: n})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// No peer reads the date; it is a tenth of the answer to a Hello.
		w.Header()["Date"] = nil
		r.Body = http.MaxBytesReader(w, r.Body, int64(maxMessage))
		server.ServeHTTP(w, r)
	})
}

// Hello takes in the caller's status and returns the status of this process.
func (s peerServer) Hello(_ context.Context, status *rtwire.Status) (*rtwire.Status, error) {
	s.node.counters.served.Inc(1)
	s.node.HandleStatus(status)
	return s.node.Status(), nil
}

// Document returns the document in force if it is newer than the caller's.
func (s peerServer) Document(_ context.Context, request *rtwire.DocumentRequest) (*rtwire.DocumentReply, error) {
	current := s.node.store.Current()
	reply := &rtwire.DocumentReply{Version: uint64(current.Version)}
	if reply.Version > request.After {
		reply.Body = s.node.packed.of(current)
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
	return replyOf(roster.DeltaSince(rtid.Version(request.After))), nil
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

// peerClient is the HTTP client of control calls. It leaves out headers that
// the server ignores, a third of a Hello, and cuts off replies over
// maxMessage, which then fail to decode.
type peerClient struct {
	client *http.Client
}

func newPeerClient(network rtnet.Network) peerClient {
	client := rtnet.Client(network)
	if transport, ok := client.Transport.(*http.Transport); ok {
		// Documents are packed already, and the header costs bytes.
		transport.DisableCompression = true
	}
	return peerClient{client: client}
}

// Do sends a request.
func (c peerClient) Do(request *http.Request) (*http.Response, error) {
	request.Header.Del("Accept")
	request.Header.Del("Twirp-Version")
	request.Header.Set("User-Agent", "") // an empty value keeps the default out
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body = boundedBody{Reader: io.LimitReader(response.Body, int64(maxMessage)), Closer: response.Body}
	return response, nil
}

type boundedBody struct {
	io.Reader
	io.Closer
}
