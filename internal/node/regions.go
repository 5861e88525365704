package node

import (
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/peer"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/tidwall/evio"
)

// Limits on resources that are used for other regions.
const (
	regionQueueLength    = 16 // queued messages to one controller of another region
	maxRegionConnections = 64 // incoming; each controller of another region needs one
)

// regionLinks exchanges messages with other regions. listen and byRegion do not change after
// JoinRegions; everything else is guarded by Node.mu.
type regionLinks struct {
	listen          string
	byRegion        map[string]*controllerLinks
	connections     int  // open connections from other regions
	rejectionLogged bool // a connection that sent an invalid message was logged
}

// controllerLinks holds the links to the controllers of one region, which are used round-robin:
// each controller forwards a message to its region's leader, and if one is unreachable, the next
// message goes to another one.
type controllerLinks struct {
	links []*peer.Link[wire.RegionMessage]
	next  int // index of the link for the next message
}

// JoinRegions enables team limits that are shared with other regions. It must be called before
// Run.
func (n *Node) JoinRegions(regions *plan.Plan, op *config.OperatorSettings) {
	n.core.JoinRegions(regions, op.Region)
	n.regions = &regionLinks{listen: op.RegionListen, byRegion: map[string]*controllerLinks{}}
	for _, region := range regions.Regions {
		if region.Name == op.Region || region.Lost {
			continue
		}
		n.regions.byRegion[region.Name] = n.linkControllers(region.Controllers)
	}
}

// linkControllers starts links to the controllers of another region.
func (n *Node) linkControllers(addresses []string) *controllerLinks {
	controllers := &controllerLinks{}
	for _, address := range addresses {
		link := peer.NewLink[wire.RegionMessage](address, heartbeatInterval(n.cfg), regionQueueLength, n.log)
		controllers.links = append(controllers.links, link)
	}
	return controllers
}

// admit reports whether one more connection from other regions is within the limit, and counts it.
func (r *regionLinks) admit() bool {
	if r.connections >= maxRegionConnections {
		return false
	}
	r.connections++
	return true
}

// send sends a message to the next controller of the destination region.
func (r *regionLinks) send(send core.RegionSend) {
	controllers := r.byRegion[send.To]
	if controllers == nil {
		return
	}
	controllers.links[controllers.next].Send(send.Message)
	controllers.next = (controllers.next + 1) % len(controllers.links)
}

// onRegionData handles bytes received from a controller of another region. A connection that sends
// anything else is closed. Only the first of these is logged, however often a client reconnects.
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
		n.log.Warn("region connection closed: invalid message", "address", conn.socket.RemoteAddr().String(), "error", err)
	}
	return evio.Close
}
