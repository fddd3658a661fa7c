package director

import (
	"time"

	"github.com/lentilshed/lentilshed/segment"
)

// lookup is the search for the agent that holds one flow. Up to lookupPackets packets of
// the flow wait until the lookup ends.
type lookup struct {
	segment segment.Segment
	packets [][]byte
	// replies has the agents that were queried, and others that have replied.
	replies   []agentReply
	scope     lookupScope
	startedAt time.Time
	// queriedAt is the time of the latest query, and retryAfter the time from it to
	// the next.
	queriedAt  time.Time
	retryAfter time.Duration
	timeout    time.Duration
	// unsureQueriedAt is when agents that are unsure were last queried.
	unsureQueriedAt time.Time
	// offers counts the packets offered, also in earlier lookups of the flow, to agents
	// outside of Config.RestartGrace, and offeredAt is the time of the latest one.
	offers    int
	offeredAt time.Time
}

// offerHistory is what a lookup that has timed out leaves to the next one of the flow.
type offerHistory struct {
	offers    int
	offeredAt time.Time
}

// lookupScope says which agents a lookup queries.
type lookupScope uint8

const (
	// scopeDrawn is the drawnQueries agents for which placement would draw the flow first,
	// in the balancer's failure domain. When the fabric distributes all flows anew, nearly
	// all are found there, whatever the number of agents.
	scopeDrawn lookupScope = iota
	// scopeLocal is the agents of the route's services in the balancer's failure
	// domain.
	scopeLocal
	// scopeRoute is the agents of the route's services in all failure domains.
	scopeRoute
	// scopeAll is all agents: an earlier configuration may have named other
	// services.
	scopeAll
)

// agentReply is an agent and its reply.
type agentReply struct {
	member *member
	reply  reply
	// offered is set once the agent was offered a packet in this lookup.
	offered bool
	// offers is the number of packets that the agent was offered, by its latest reply.
	offers int
}

// offerCount returns the number of packets of the flow that are known to have been offered:
// by this balancer, or by others, as the replies of the agents say.
func (l *lookup) offerCount() int {
	n := 0
	for _, a := range l.replies {
		if a.offered {
			n += max(a.offers, 1)
		} else {
			n += a.offers
		}
	}
	return max(n, l.offers)
}

// replyOf returns the entry of an agent, or nil if it was not queried.
func (l *lookup) replyOf(x *member) *agentReply {
	for i := range l.replies {
		if l.replies[i].member == x {
			return &l.replies[i]
		}
	}
	return nil
}

// reply is an agent's state in a lookup.
type reply uint8

const (
	replyNone reply = iota
	// replyUnsure means that the agent does not know whether its backend server holds
	// the flow.
	replyUnsure
	// replyOffered means that an unsure agent was sent a packet of the flow, which it
	// returns if its backend server does not hold the flow, and has not returned it.
	replyOffered
	// replyUnheld means that the agent's backend server does not hold the flow.
	replyUnheld
)

const (
	// lookupRetryInterval is the time after which a query is repeated: several round trips
	// between failure domains. It doubles with each repetition, so that lookups for
	// the flows of a whole region do not fill slow links.
	lookupRetryInterval = 60 * time.Millisecond
	// lookupTimeout ends a lookup; the caller's next packet starts another.
	lookupTimeout = 1200 * time.Millisecond
	// widenDelay is the time for which a lookup stays in the balancer's failure domain while
	// agents there are unsure: an offered packet has come back or was accepted by then.
	widenDelay = 350 * time.Millisecond
	// drawnQueries is the number of agents in scopeDrawn: placement sends a flow to the
	// better of two, and to others if they refuse it.
	drawnQueries = 3
	// unsureRetryInterval is the time after which an unsure agent is queried again. It
	// becomes sure by its backend server's packets, heartbeat or record.
	unsureRetryInterval = 500 * time.Millisecond
	// An agent that has started without a plan within Config.RestartGrace may not know its
	// flows, and the users' rules leave its instance out for longer than that, so a lookup
	// may offer packets to any number of such agents. All others, also those that had been
	// asked to stop, are offered at most maxOffers by all balancers together: a third packet
	// at a wrong server would count as misrouting a live flow, however late it comes.
	maxOffers = 2
	// offerTimeout is the time for which a lookup waits for the outcome of an offer.
	offerTimeout = 2100 * time.Millisecond
	// offerRetention is the time for which offers of a flow count: callers give up earlier.
	offerRetention = time.Minute
	// lookupPackets is the maximum number of packets that wait for one lookup.
	lookupPackets = 4
	// maxLookups is the maximum number of lookups at a time.
	maxLookups = 20_000
	// minListInterval is the least time between two requests for the list of agents.
	minListInterval = 150 * time.Millisecond
)

// maxQueryFlows is the maximum number of flows of a query, which must fit one datagram.
const maxQueryFlows = 40

func (l *lookup) count(x reply) int {
	n := 0
	for _, a := range l.replies {
		if a.reply == x {
			n++
		}
	}
	return n
}
