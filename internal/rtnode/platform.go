package rtnode

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/rhubarbtally/rhubarbtally/internal/rtdocument"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtwire"
)

// errAbsent means that the platform has nothing newer, or nothing at all.
var errAbsent = errors.New("platform has nothing newer")

// maxVMs bounds the list of VMs as the platform sends it.
const maxVMs rtid.Bytes = 8 << 20

// platform is the client of the configuration service and the list of VMs.
type platform struct {
	client  *http.Client
	address rtid.Address
}

// vm is one line of the platform's list.
type vm struct {
	VM      rtid.VM      `json:"vm"`
	Role    string       `json:"role"`
	Zone    rtid.Zone    `json:"zone"`
	Address rtid.Address `json:"address"`
	State   string       `json:"state"`
	Target  rtid.Target  `json:"target"`
	Service rtid.Service `json:"service"`
}

// document returns a document above version after. With after zero it returns
// at once; otherwise the platform holds the call until there is one.
func (p platform) document(ctx context.Context, after rtid.Version) (rtid.Version, []byte, error) {
	return p.get(ctx, "/document", after, rtdocument.MaxSize)
}

// vms returns a list of VMs above version after, in the same way.
func (p platform) vms(ctx context.Context, after rtid.Version) (rtid.Version, []*rtwire.Member, error) {
	version, body, err := p.get(ctx, "/vms", after, maxVMs)
	if err != nil {
		return 0, nil, err
	}
	var list []vm
	if err := json.Unmarshal(body, &list); err != nil {
		return 0, nil, fmt.Errorf("decode list of VMs: %w", err)
	}
	members := make([]*rtwire.Member, 0, len(list))
	for _, line := range list {
		members = append(members, line.member())
	}
	return version, members, nil
}

func (v vm) member() *rtwire.Member {
	member := &rtwire.Member{
		Vm:      string(v.VM),
		Zone:    string(v.Zone),
		Address: string(v.Address),
		Leaving: v.State == "leaving",
		Target:  string(v.Target),
		Service: string(v.Service),
	}
	switch v.Role {
	case "entry":
		member.Role = rtwire.Role_ROLE_ENTRY
	case "agent":
		member.Role = rtwire.Role_ROLE_AGENT
	}
	return member
}

func (p platform) get(ctx context.Context, path string, after rtid.Version, limit rtid.Bytes) (rtid.Version, []byte, error) {
	url := "http://" + string(p.address) + path
	if after > 0 {
		url += "?after=" + strconv.FormatUint(uint64(after), 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("create request: %w", err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNoContent, http.StatusNotFound:
		return 0, nil, errAbsent
	default:
		return 0, nil, fmt.Errorf("platform: %s answered %d", path, response.StatusCode)
	}
	version, err := strconv.ParseUint(response.Header.Get("Version"), 10, 64)
	if err != nil {
		return 0, nil, fmt.Errorf("platform: header Version: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return 0, nil, fmt.Errorf("platform: read %s: %w", path, err)
	}
	if rtid.Bytes(len(body)) > limit {
		return 0, nil, fmt.Errorf("platform: %s is over %d bytes", path, limit)
	}
	return rtid.Version(version), body, nil
}
