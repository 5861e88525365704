package node

import (
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/peer"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/tidwall/evio"
)

// Bounds of what other regions may take here.
const (
	regionQueueLength    = 16 // messages that wait for one controller of another region
	maxRegionConnections = 64 // from other regions; each of their controllers needs one
)

// regionLinks carry messages to and from other regions. Connections are guarded by Node.mu.
type regionLinks struct {
	listen          string
	byRegion        map[string]*controllerLinks
	connections     int
	rejectionLogged bool // a stream that was not understood was logged
}

// controllerLinks are the links to the controllers of one region, taken in turn: any of them takes
// a message to its leader, and a message that meets one that is away is followed by another.
type controllerLinks struct {
	links []*peer.Link[wire.RegionMessage]
	next  int
}

// JoinRegions turns on limits that are shared with other regions. It is called before Run.
func (n *Node) JoinRegions(p *plan.Plan, op *config.Operator) {
	n.core.JoinRegions(p, op.Region)
	n.regions = &regionLinks{listen: op.RegionListen, byRegion: map[string]*controllerLinks{}}
	for _, r := range p.Regions {
		if r.Name == op.Region || r.Lost {
			continue
		}
		link := &controllerLinks{}
		for _, addr := range r.Controllers {
			link.links = append(link.links, peer.NewLink[wire.RegionMessage](addr, config.Seconds(n.cfg.Deployment.Workers.ReportS), regionQueueLength, n.log))
		}
		n.regions.byRegion[r.Name] = link
	}
}

// admit tells whether one more connection is taken, and counts it.
func (r *regionLinks) admit() bool {
	if r.connections >= maxRegionConnections {
		return false
	}
	r.connections++
	return true
}

// send hands a message to the next controller of its region.
func (r *regionLinks) send(s core.RegionSend) {
	link := r.byRegion[s.To]
	if link == nil {
		return
	}
	link.links[link.next].Send(s.Message)
	link.next = (link.next + 1) % len(link.links)
}

// onRegionData takes what a controller of another region sends. A stream that is not one of
// ours ends; the first is logged.
func (n *Node) onRegionData(conn *connection, input []byte) evio.Action {
	messages, err := conn.regionDecoder.Feed(input)
	for _, m := range messages {
		n.step(core.RegionInput{Message: m}, conn)
	}
	if err == nil {
		return evio.None
	}
	if !n.regions.rejectionLogged {
		n.regions.rejectionLogged = true
		n.log.Warn("region stream refused", "from", conn.socket.RemoteAddr().String(), "err", err)
	}
	return evio.Close
}
