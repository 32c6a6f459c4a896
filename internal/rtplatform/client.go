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

// Errors that the answers of the platform wrap.
var (
	ErrUnavailable  = errors.New("platform is down")            // no answer, or one that says so
	ErrNotPublished = errors.New("nothing published")           // the platform answers and has no value
	ErrTooLarge     = errors.New("value of platform too large") // over the limit of its kind
)

// maxListSize bounds the list of VMs. At 2,300 nodes and 10,000 targets it
// has under 2 MiB.
const maxListSize rtid.Bytes = 8 << 20

// Bounds of one call, so that a platform that accepts connections and never
// answers counts as down. A watch takes up to 30 s when nothing changes.
const (
	readTimeout  = 5 * time.Second
	watchTimeout = 35 * time.Second
)

// Client reads and watches the platform.
type Client struct {
	HTTP    *http.Client
	Address rtid.Address
}

// Read returns the document with its version.
func (c *Client) Read(ctx context.Context) (rtid.Version, []byte, error) {
	return c.get(ctx, "/document", readTimeout, rtdocument.MaxSize)
}

// Watch waits for a document with a version above after. It returns version 0
// if there is none after some time.
func (c *Client) Watch(ctx context.Context, after rtid.Version) (rtid.Version, []byte, error) {
	return c.get(ctx, watchPath("/document", after), watchTimeout, rtdocument.MaxSize)
}

// VMs returns the list of VMs. With after it waits for a version above it,
// and returns version 0 if there is none after some time.
func (c *Client) VMs(ctx context.Context, after rtid.Version) (rtid.Version, []Member, error) {
	path, timeout := "/vms", readTimeout
	if after > 0 {
		path, timeout = watchPath(path, after), watchTimeout
	}
	version, body, err := c.get(ctx, path, timeout, maxListSize)
	if err != nil || version == 0 {
		return 0, nil, err
	}
	var members []Member
	if err := json.Unmarshal(body, &members); err != nil {
		return 0, nil, fmt.Errorf("read %s: decode list: %w", path, err)
	}
	return version, members, nil
}

func watchPath(path string, after rtid.Version) string {
	return fmt.Sprintf("%s?after=%d", path, after)
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration, limit rtid.Bytes) (rtid.Version, []byte, error) {
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
		return 0, nil, fmt.Errorf("%w: read %s: status %d", ErrUnavailable, path, response.StatusCode)
	}
}

func readValue(response *http.Response, path string, limit rtid.Bytes) (rtid.Version, []byte, error) {
	header := response.Header.Get(HeaderVersion)
	version, err := strconv.ParseUint(header, 10, 64)
	if err != nil || version == 0 {
		return 0, nil, fmt.Errorf("read %s: header %s is %q, want a version", path, HeaderVersion, header)
	}
	// One byte over the limit tells a value that is too large from one that
	// just fits.
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: read %s: %w", ErrUnavailable, path, err)
	}
	if rtid.Bytes(len(body)) > limit {
		return 0, nil, fmt.Errorf("read %s: %w: over %d bytes", path, ErrTooLarge, limit)
	}
	return rtid.Version(version), body, nil
}
