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

// maxFrame bounds an encoded frame: 64 KiB of text and its fields.
const maxFrame = 65 << 10

// headerOrganisation names the organisation of a request, from callers and
// towards agents.
const headerOrganisation = "Organisation"

// dialError is a connection that could not be opened, so that nothing was
// sent over it.
type dialError struct {
	cause error
}

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// notSent reports whether err shows that a request did not leave this process.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

// answerError is an agent's answer other than 200 to the read of an answer.
type answerError struct {
	status int
}

func (e *answerError) Error() string {
	return fmt.Sprintf("agent answered %d to the read of an answer", e.status)
}

// dialer marks errors of opening a connection.
type dialer struct {
	rtnet.Network
}

// Dial opens a connection. Its errors are of type dialError.
func (d dialer) Dial(ctx context.Context, address rtid.Address) (net.Conn, error) {
	connection, err := d.Network.Dial(ctx, address)
	if err != nil {
		return nil, &dialError{err}
	}
	return connection, nil
}

// agents sends requests to agents.
type agents struct {
	client *http.Client
}

func newAgents(network rtnet.Network) agents {
	return agents{rtnet.Client(dialer{network})}
}

// target returns the client of the agent at address.
func (a agents) target(address rtid.Address) rtwire.Target {
	return rtwire.NewTargetProtobufClient("http://"+string(address), a.client)
}

// answer opens the answer stream of a request from byte offset.
func (a agents) answer(ctx context.Context, address rtid.Address, request rtid.Request,
	organisation rtid.Organisation, offset int64) (*frames, error) {
	path := fmt.Sprintf("http://%s/answers/%s?offset=%d", address, url.PathEscape(string(request)), offset)
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	message.Header.Set(headerOrganisation, string(organisation))
	response, err := a.client.Do(message)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &answerError{response.StatusCode}
	}
	return &frames{body: response.Body, reader: bufio.NewReader(response.Body)}, nil
}

// frames reads the frames of an answer stream.
type frames struct {
	body   io.ReadCloser
	reader *bufio.Reader
}

// next returns the next frame, or the error that ended the stream.
func (f *frames) next() (*rtwire.Frame, error) {
	frame := &rtwire.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: maxFrame}
	if err := options.UnmarshalFrom(f.reader, frame); err != nil {
		return nil, fmt.Errorf("read frame: %w", err)
	}
	return frame, nil
}

// close releases the connection.
func (f *frames) close() {
	// The stream has been read as far as it is needed.
	_ = f.body.Close()
}
