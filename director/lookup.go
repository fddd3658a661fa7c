package director

import (
	"time"

	"github.com/lentilshed/lentilshed/segment"
)

// lookup is the search for the place of one flow. Its packets wait meanwhile.
type lookup struct {
	segment segment.Segment
	held    [][]byte
	// replies has every agent that was asked, in the order of asking.
	replies []answered
	reach   reach
	started time.Time
	// asked is the latest time of asking, and retry the time until the next.
	asked   time.Time
	retry   time.Duration
	timeout time.Duration
	// turn is where offers begin among the replies.
	turn int
	// offers counts the packets offered to agents that have been there for long.
	offers int
}

// reach is how far a search has come.
type reach uint8

const (
	// reachNear asks the agents of the route's services in the caller's failure
	// domain.
	reachNear reach = iota
	// reachRoute asks the agents of the route's services everywhere.
	reachRoute
	// reachAll asks all agents: an earlier configuration may have named other
	// services.
	reachAll
)

// answered is an agent and what it has said.
type answered struct {
	member *member
	reply  reply
}

// at returns the entry of an agent, or nil if it was not asked.
func (l *lookup) at(x *member) *answered {
	for i := range l.replies {
		if l.replies[i].member == x {
			return &l.replies[i]
		}
	}
	return nil
}

// reply is what an agent has said about a flow.
type reply uint8

const (
	replyNone reply = iota
	// replyUnsure is an agent that does not know all flows of its backend server.
	replyUnsure
	// replyOffered is such an agent that was handed a packet and has not returned
	// it.
	replyOffered
	// replyUnheld is an agent whose backend server does not hold the flow.
	replyUnheld
)

const (
	// lookupRetry is the time after which a question is repeated: several round
	// trips between failure domains. It doubles, so that searches for the flows
	// of a whole region do not fill thin links.
	lookupRetry = 60 * time.Millisecond
	// lookupTimeout gives a search up; the caller's next packet starts another.
	lookupTimeout = 1200 * time.Millisecond
	// recentLife is the time after the start of an agent in which it does not know
	// its flows through no plan of anyone's, less than the 4 s of the users' rules;
	// a search may offer packets to any number of such agents. Of others, and of those
	// that had been asked to stop, maxOffers get a packet: a third that is wrong within
	// offerTimeout could lead a live flow astray.
	recentLife   = 3500 * time.Millisecond
	maxOffers    = 2
	offerTimeout = 2100 * time.Millisecond
	// lookupPackets bounds the packets that wait for one search.
	lookupPackets = 4
	// maxLookups bounds the searches at a time.
	maxLookups = 20_000
	// listPause is the least time between two lists of all agents.
	listPause = 150 * time.Millisecond
)

// maxTurn is more than the agents of a search.
const maxTurn = 1 << 20

// maxQuery keeps a query within one datagram.
const maxQuery = 40

func (l *lookup) count(x reply) int {
	n := 0
	for _, a := range l.replies {
		if a.reply == x {
			n++
		}
	}
	return n
}
