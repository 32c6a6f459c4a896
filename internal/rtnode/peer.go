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
	// maxMessageSize is the largest control message between processes.
	maxMessageSize rtid.Bytes = 3 << 19 // 1.5 MiB

	// callTimeout is the timeout of one control call. It leaves time for a
	// retry within the 5 s that a change may take to reach all processes.
	callTimeout = 2 * time.Second
)

// peerServer implements the Peer service.
type peerServer struct {
	node *Node
}

// Handler returns the HTTP handler of the Peer service.
func (n *Node) Handler() http.Handler {
	server := rtwire.NewPeerServer(peerServer{node: n})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Peers do not use the Date header, a tenth of the reply to a Hello.
		w.Header()["Date"] = nil
		r.Body = http.MaxBytesReader(w, r.Body, int64(maxMessageSize))
		server.ServeHTTP(w, r)
	})
}

// Hello stores the caller's status and returns the status of this process.
func (s peerServer) Hello(_ context.Context, status *rtwire.Status) (*rtwire.Status, error) {
	s.node.counters.helloServed.Inc(1)
	s.node.HandleStatus(status)
	return s.node.Status(), nil
}

// Document returns the compressed document in force if it is newer than the
// caller's.
func (s peerServer) Document(_ context.Context, request *rtwire.DocumentRequest) (*rtwire.DocumentReply, error) {
	current := s.node.store.Current()
	reply := &rtwire.DocumentReply{Version: uint64(current.Version)}
	if reply.Version > request.After {
		reply.Body = s.node.compressed.bodyOf(current)
	}
	return reply, nil
}

// Roster returns the changes of the list of VMs since the caller's version.
func (s peerServer) Roster(_ context.Context, request *rtwire.RosterRequest) (*rtwire.RosterReply, error) {
	n := s.node
	n.mu.Lock()
	defer n.mu.Unlock()
	roster := n.table.Roster()
	if uint64(roster.Version()) <= request.After {
		return &rtwire.RosterReply{Version: uint64(roster.Version())}, nil
	}
	return rosterReplyOf(roster.DeltaSince(rtid.Version(request.After))), nil
}

// clientFor returns a client of the Peer service at an address.
func (n *Node) clientFor(address rtid.Address) rtwire.Peer {
	return rtwire.NewPeerProtobufClient("http://"+string(address), n.peers)
}

// hello exchanges status with the process at an address: it sends the status of
// this process, stores the one in the reply and returns it.
func (n *Node) hello(ctx context.Context, address rtid.Address) (*rtwire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	n.counters.helloSent.Inc(1)
	reply, err := n.clientFor(address).Hello(ctx, n.Status())
	if err != nil {
		n.counters.callsFailed.Inc(1)
		return nil, fmt.Errorf("hello to %s: %w", address, err)
	}
	n.storeStatus(reply, sent)
	return reply, nil
}

// peerClient is the HTTP client of control calls. It omits headers that the
// server ignores, a third of a Hello, and truncates replies over
// maxMessageSize, which then fail to decode.
type peerClient struct {
	client *http.Client
}

func newPeerClient(network rtnet.Network) peerClient {
	client := rtnet.Client(network)
	if transport, ok := client.Transport.(*http.Transport); ok {
		// Documents are already compressed, and Accept-Encoding takes bytes.
		transport.DisableCompression = true
	}
	return peerClient{client: client}
}

// Do sends a request without the omitted headers.
func (c peerClient) Do(request *http.Request) (*http.Response, error) {
	request.Header.Del("Accept")
	request.Header.Del("Twirp-Version")
	request.Header.Set("User-Agent", "") // an empty value suppresses the default
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body = limitedBody{Reader: io.LimitReader(response.Body, int64(maxMessageSize)), Closer: response.Body}
	return response, nil
}

type limitedBody struct {
	io.Reader
	io.Closer
}
