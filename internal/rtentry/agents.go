package rtentry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtnet"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// maxFrameSize limits an encoded frame, in bytes: 64 KiB of text and 1 KiB for
// the other fields.
const maxFrameSize = 65 << 10

// headerOrganisation is the header with the organisation of a request, both
// from callers and to agents.
const headerOrganisation = "Organisation"

// dialError means that the connection could not be opened, so nothing was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// notSent reports whether err proves that no part of a request was sent.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

// answerStatusError is an HTTP status other than 200 from an agent that was
// asked for the answer stream of a request.
type answerStatusError struct {
	status int
}

func (e *answerStatusError) Error() string {
	return fmt.Sprintf("agent returned status %d for the answer stream, want 200", e.status)
}

// dialer is a network whose dial errors are of type dialError.
type dialer struct {
	rtnet.Network
}

// Dial opens a connection. It returns errors as *dialError.
func (d dialer) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	connection, err := d.Network.Dial(ctx, address)
	if err != nil {
		return nil, &dialError{err}
	}
	return connection, nil
}

// agents is the HTTP client for agents.
type agents struct {
	client *http.Client
}

func newAgents(network rtnet.Network) agents {
	return agents{rtnet.Client(dialer{network})}
}

// rpc returns the RPC client for the agent at address.
func (a agents) rpc(address rtid.Address) rtwire.Target {
	return rtwire.NewTargetProtobufClient("http://"+string(address), a.client)
}

// openAnswer opens the answer stream of a request at a byte offset.
func (a agents) openAnswer(ctx context.Context, address rtid.Address, request rtid.Request,
	organisation rtid.Organisation, offset int64) (*frameReader, error) {
	path := fmt.Sprintf("http://%s/answers/%s?offset=%d", address, url.PathEscape(string(request)), offset)
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, fmt.Errorf("create request for the answer stream: %w", err)
	}
	message.Header.Set(headerOrganisation, string(organisation))
	response, err := a.client.Do(message)
	if err != nil {
		return nil, fmt.Errorf("open answer stream: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &answerStatusError{response.StatusCode}
	}
	return &frameReader{body: response.Body, reader: bufio.NewReader(response.Body)}, nil
}

// frameReader reads the frames of an answer stream.
type frameReader struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// next returns the next frame, or the error that ended the stream.
func (f *frameReader) next() (*rtwire.Frame, error) {
	frame := &rtwire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameSize}
	if err := options.UnmarshalFrom(f.reader, frame); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return frame, nil
}

// close closes the connection.
func (f *frameReader) close() {
	// The rest of the stream is not needed, so the error does not matter.
	_ = f.body.Close()
}
