package rtpeer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
	"github.com/rhubarbtally/rhubarbtally/internal/rtshare"
)

const (
	// usesInterval is the shortest time between two digests with uses. They are valid for
	// 2 s, so one of them may be lost.
	usesInterval = 900 * time.Millisecond
	// usesRate is how many bytes of uses a process sends in a second at most, a third of
	// the limit of control traffic (17 KB/s), and useBytes the size of one with usual
	// names. In large cells digests name fewer organisations, minReportedUses at least.
	usesRate        = 6000
	useBytes        = 35
	minReportedUses = 4
	// maxReportedUses is how many uses a digest holds at most: the largest
	// organisations and a sum for each service.
	maxReportedUses = rtshare.MaxReported + rtshare.MaxServices
	// maxName is the longest name of a service or an organisation in bytes that is
	// taken for one.
	maxName = 200
)

// reportedUse is the encoding in a digest of what an organisation has used.
type reportedUse struct {
	Service      rtid.Service
	Organisation rtid.Organisation // empty for the sum of those that are not listed
	Use          float64           // decayed engine time, in ms
	Waiting      bool
}

// localUses returns the uses and the services with scarce capacity for a digest to a
// number of peers.
func (g *Group) localUses(peers int, now time.Time) ([]reportedUse, []rtid.Service) {
	if g.options.Shares == nil {
		return nil, nil
	}
	scarce := g.options.Shares.ScarceServices()
	scarce = scarce[:min(len(scarce), rtshare.MaxServices)]
	if now.Sub(g.usesSent) < usesInterval {
		return nil, scarce
	}
	affordable := int(usesRate * usesInterval.Seconds() / float64(useBytes*max(1, peers)))
	uses := g.options.Shares.Uses(max(minReportedUses, affordable))
	if len(uses) > 0 {
		g.usesSent = now
	}
	var reported []reportedUse
	for _, u := range uses[:min(len(uses), maxReportedUses)] {
		reported = append(reported, reportedUse{
			Service: u.Service, Organisation: u.Organisation, Use: float64(u.Time) / float64(time.Millisecond), Waiting: u.Waiting,
		})
	}
	return reported, scarce
}

// mergeUses passes on the uses in the digest of a peer. Entries that no process sends
// are dropped.
func (g *Group) mergeUses(message digest) {
	if g.options.Shares == nil {
		return
	}
	var uses []rtshare.Use
	dropped := max(0, len(message.Uses)-maxReportedUses) + max(0, len(message.Scarce)-rtshare.MaxServices)
	for _, u := range message.Uses[:min(len(message.Uses), maxReportedUses)] {
		if !u.valid() {
			dropped++
			continue
		}
		uses = append(uses, rtshare.Use{
			Service: u.Service, Organisation: u.Organisation, Time: time.Duration(u.Use * float64(time.Millisecond)), Waiting: u.Waiting,
		})
	}
	var scarce []rtid.Service
	for _, service := range message.Scarce[:min(len(message.Scarce), rtshare.MaxServices)] {
		if service == "" || len(service) > maxName {
			dropped++
			continue
		}
		scarce = append(scarce, service)
	}
	if dropped > 0 {
		if sender, err := netip.ParseAddrPort(string(message.Address)); err == nil {
			g.logOnce(sender.Addr(), "Uses in a digest dropped.", fmt.Errorf("%d entries are malformed or too many", dropped), time.Now())
		}
	}
	g.options.Shares.SetPeerUses(message.VM, uses, scarce)
}

// valid reports whether a process can have sent the entry.
func (u reportedUse) valid() bool {
	const most = float64(rtshare.MaxUse / time.Millisecond)
	// The comparisons are false for NaN.
	return u.Service != "" && len(u.Service) <= maxName && len(u.Organisation) <= maxName && u.Use >= 0 && u.Use <= most
}
