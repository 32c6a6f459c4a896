package rtnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtmember"
	"github.com/rhubarbtally/rhubarbtally/internal/rtplatform"
)

// errNothingNewer means that a watch has ended without a newer version, or
// that nothing is published.
var errNothingNewer = errors.New("platform has nothing newer")

const (
	// maxList bounds the list of VMs as the platform sends it.
	maxList rtid.Bytes = 8 << 20

	// watchLimit ends a watch that the platform should have ended after 30 s.
	watchLimit = 35 * time.Second
)

// platform is the client of the configuration service and the list of VMs.
type platform struct {
	client  *http.Client
	address rtid.Address
	count   tally.Counter
}

// answer is what one call returned.
type answer struct {
	version rtid.Version
	body    []byte
}

// readDocument returns the published document.
func (p platform) readDocument(ctx context.Context) (answer, error) {
	return p.get(ctx, "/document", rtdocument.MaxSize)
}

// watchDocument waits for a document above a version.
func (p platform) watchDocument(ctx context.Context, after rtid.Version) (answer, error) {
	return p.get(ctx, watchPath("/document", after), rtdocument.MaxSize)
}

// readList returns the list of VMs.
func (p platform) readList(ctx context.Context) (answer, error) {
	return p.get(ctx, "/vms", maxList)
}

// watchList waits for a list of VMs above a version.
func (p platform) watchList(ctx context.Context, after rtid.Version) (answer, error) {
	return p.get(ctx, watchPath("/vms", after), maxList)
}

func watchPath(path string, after rtid.Version) string {
	return path + "?after=" + strconv.FormatUint(uint64(after), 10)
}

func (p platform) get(ctx context.Context, path string, limit rtid.Bytes) (answer, error) {
	p.count.Inc(1)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.address)+path, nil)
	if err != nil {
		return answer{}, fmt.Errorf("create request: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return answer{}, fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent, http.StatusNotFound:
		return answer{}, errNothingNewer
	default:
		return answer{}, fmt.Errorf("platform: %s answered %d", path, response.StatusCode)
	}
	version, err := strconv.ParseUint(response.Header.Get(rtplatform.HeaderVersion), 10, 64)
	if err != nil {
		return answer{}, fmt.Errorf("platform: header %s: %w", rtplatform.HeaderVersion, err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return answer{}, fmt.Errorf("platform: read %s: %w", path, err)
	}
	if rtid.Bytes(len(body)) > limit {
		return answer{}, fmt.Errorf("platform: %s is over %d bytes", path, limit)
	}
	return answer{version: rtid.Version(version), body: body}, nil
}

// decodeList returns the whole list of VMs of an answer. Malformed lines are
// left out, so that one of them does not hide the rest, and counted.
func decodeList(list answer) (rtmember.Delta, int, error) {
	var lines []rtplatform.Member
	if err := json.Unmarshal(list.body, &lines); err != nil {
		return rtmember.Delta{}, 0, fmt.Errorf("decode list of VMs: %w", err)
	}
	delta := rtmember.Delta{Version: list.version}
	for _, line := range lines {
		if checkMember(line) == nil {
			delta.Members = append(delta.Members, line)
		}
	}
	return delta, len(lines) - len(delta.Members), nil
}
