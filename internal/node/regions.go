package node

import (
	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/internal/peer"
	"github.com/brookwalk/brookwalk/internal/quota/plan"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/tidwall/evio"
)

// Bounds of what other regions may use here.
const (
	regionQueueLength    = 16 // messages that wait for one controller of another region
	maxRegionConnections = 64 // from other regions; each of their controllers needs one
)

// regionLinks carry messages to and from other regions. All fields but listen and byRegion, which
// do not change, are guarded by Node.mu.
type regionLinks struct {
	listen          string
	byRegion        map[string]*controllerLinks
	connections     int  // that are open from other regions
	rejectionLogged bool // a stream of something else than a region was logged
}

// controllerLinks are the links to the controllers of one region, used in turn: each of them
// forwards a message to its leader, and a message to one that is unreachable is followed by one
// to another.
type controllerLinks struct {
	links []*peer.Link[wire.RegionMessage]
	next  int
}

// JoinRegions turns on limits that are shared with other regions. It is called before Run.
func (n *Node) JoinRegions(regions *plan.Plan, op *config.Operator) {
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

// admit reports whether one more connection is accepted, and counts it.
func (r *regionLinks) admit() bool {
	if r.connections >= maxRegionConnections {
		return false
	}
	r.connections++
	return true
}

// send hands a message to the next controller of its region.
func (r *regionLinks) send(send core.RegionSend) {
	controllers := r.byRegion[send.To]
	if controllers == nil {
		return
	}
	controllers.links[controllers.next].Send(send.Message)
	controllers.next = (controllers.next + 1) % len(controllers.links)
}

// onRegionData handles what a controller of another region sends. A stream of anything else is
// closed; the first one is logged.
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
		n.log.Warn("region stream refused", "address", conn.socket.RemoteAddr().String(), "error", err)
	}
	return evio.Close
}
