package rtplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// Errors that the methods of Client wrap.
var (
	// ErrUnavailable reports that the platform did not answer in full, or
	// answered with an unexpected status.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrNotPublished reports that the platform answered and has no value.
	ErrNotPublished = errors.New("nothing published")
	// ErrTooLarge reports a value over the size limit.
	ErrTooLarge = errors.New("value of the platform is too large")
)

// maxListSize is the size limit of the list of VMs. With 2,300 nodes and 10,000
// targets the list has less than 2 MiB.
const maxListSize rtid.Bytes = 8 << 20

// Timeouts of one call, after which a platform that accepts connections but does
// not answer counts as unavailable. The platform answers a watch without changes
// after up to 30 s.
const (
	readTimeout  = 5 * time.Second
	watchTimeout = 35 * time.Second
)

// Client reads and watches the values that the platform publishes.
type Client struct {
	HTTP    *http.Client
	Address rtid.Address
}

// Read returns the document that the platform publishes and its version.
func (c *Client) Read(ctx context.Context) (rtid.Version, []byte, error) {
	return c.fetch(ctx, "/document", readTimeout, rtdocument.MaxSize)
}

// Watch waits for a document with a version above after. It returns version 0
// if the platform ends the watch without one.
func (c *Client) Watch(ctx context.Context, after rtid.Version) (rtid.Version, []byte, error) {
	return c.fetch(ctx, watchPath("/document", after), watchTimeout, rtdocument.MaxSize)
}

// VMs returns the list of VMs and its version. If after is above 0, it waits for
// a version above after, and returns version 0 if the platform ends the watch
// without one.
func (c *Client) VMs(ctx context.Context, after rtid.Version) (rtid.Version, []Member, error) {
	path, timeout := "/vms", readTimeout
	if after > 0 {
		path, timeout = watchPath(path, after), watchTimeout
	}
	version, body, err := c.fetch(ctx, path, timeout, maxListSize)
	if err != nil || version == 0 {
		return 0, nil, err
	}
	var members []Member
	if err := json.Unmarshal(body, &members); err != nil {
		return 0, nil, fmt.Errorf("read %s: decode list: %w", path, err)
	}
	return version, members, nil
}

// watchPath returns the path and query of a watch.
func watchPath(path string, after rtid.Version) string {
	return fmt.Sprintf("%s?after=%d", path, after)
}

// fetch makes one call. It returns version 0 if the platform reports no change.
func (c *Client) fetch(ctx context.Context, path string, timeout time.Duration, limit rtid.Bytes) (rtid.Version, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(c.Address)+path, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("read %s: %w", path, err)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return readValue(response, path, limit)
	case http.StatusNoContent:
		return 0, nil, nil
	case http.StatusNotFound:
		return 0, nil, fmt.Errorf("read %s: %w", path, ErrNotPublished)
	default:
		return 0, nil, fmt.Errorf("%w: read %s: got status %d, want 200, 204 or 404", ErrUnavailable, path, response.StatusCode)
	}
}

// readValue reads the version and the body of a response with status 200.
func readValue(response *http.Response, path string, limit rtid.Bytes) (rtid.Version, []byte, error) {
	header := response.Header.Get(HeaderVersion)
	version, err := strconv.ParseUint(header, 10, 64)
	if err != nil || version == 0 {
		return 0, nil, fmt.Errorf("read %s: header %s is %q, want a version above 0", path, HeaderVersion, header)
	}
	// Reading one byte more than the limit tells a value that is too large from
	// one of exactly the limit.
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: read %s: %w", ErrUnavailable, path, err)
	}
	if rtid.Bytes(len(body)) > limit {
		return 0, nil, fmt.Errorf("read %s: %w: more than %d bytes", path, ErrTooLarge, limit)
	}
	return rtid.Version(version), body, nil
}
