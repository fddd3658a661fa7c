package host

import (
	"math"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
	"google.golang.org/protobuf/proto"
)

const (
	// maxRouteCosts bounds the routes in one report or report request.
	maxRouteCosts = 8
	// maxQueuedPriorities bounds the priorities of waiting requests in one report.
	maxQueuedPriorities = 8
	// maxReportBytes bounds the size of a report. Agents send two a second to each subscriber.
	maxReportBytes = 400
)

// encodeLoad returns nil for a report without load and failures, so that it is not larger.
// The receiver takes an empty load, unlike none, for one that has been measured.
func encodeLoad(hasLoad bool, l cost.Load) *controlpb.ServerLoad {
	if !hasLoad {
		return nil
	}
	x := &controlpb.ServerLoad{
		RunningMicros: uint64(max(l.Rest, 0).Microseconds()),
		Running:       l.Running,
		Routes:        encodeCosts(l.Routes),
	}
	for _, q := range l.Queued[:min(len(l.Queued), maxQueuedPriorities)] {
		x.Queued = append(x.Queued, &controlpb.PriorityWork{
			Priority:   uint32(q.Priority),
			WorkMicros: uint64(max(q.Work, 0).Microseconds()),
			Requests:   q.Requests,
		})
	}
	return x
}

// limitRoutes removes routes from a report that is too large, those with the least work first.
func limitRoutes(d *controlpb.Datagram) *controlpb.Datagram {
	l := d.GetReport().GetLoad()
	for len(l.GetRoutes()) > 0 && proto.Size(d) >= maxReportBytes {
		l.Routes = l.Routes[:len(l.Routes)-1]
	}
	return d
}

func decodeLoad(x *controlpb.ServerLoad) cost.Load {
	l := cost.Load{
		Running: x.GetRunning(),
		Rest:    fromMicros(x.GetRunningMicros()),
		Routes:  decodeCosts(x.GetRoutes()),
	}
	queued := x.GetQueued()
	for _, q := range queued[:min(len(queued), maxQueuedPriorities)] {
		l.Queued = append(l.Queued, cost.PriorityWork{
			Priority: routing.Priority(min(q.GetPriority(), math.MaxUint8)),
			Work:     fromMicros(q.GetWorkMicros()),
			Requests: q.GetRequests(),
		})
	}
	return l
}

func encodeCosts(l []cost.RouteCost) []*controlpb.RouteCost {
	if len(l) == 0 {
		return nil
	}
	l = l[:min(len(l), maxRouteCosts)]
	x := make([]*controlpb.RouteCost, 0, len(l))
	for _, c := range l {
		x = append(x, &controlpb.RouteCost{
			Address:       c.Route.Host,
			Port:          uint32(c.Route.Port),
			MeanMicros:    micros32(c.Mean),
			P50Micros:     micros32(c.P50),
			P90Micros:     micros32(c.P90),
			P99Micros:     micros32(c.P99),
			Samples:       c.Samples,
			RequestsMilli: uint32(min(max(c.RequestsPerFlow, 0)*milli, math.MaxUint32)),
			ResponseBytes: c.ResponseBytes,
		})
	}
	return x
}

// decodeCosts leaves out entries with a port that is out of range.
func decodeCosts(l []*controlpb.RouteCost) []cost.RouteCost {
	l = l[:min(len(l), maxRouteCosts)]
	var x []cost.RouteCost
	for _, c := range l {
		if c.GetPort() > math.MaxUint16 {
			continue
		}
		x = append(x, cost.RouteCost{
			Route: routing.Address{
				Host: c.GetAddress(),
				Port: uint16(c.GetPort()),
			},
			Mean:            fromMicros(uint64(c.GetMeanMicros())),
			P50:             fromMicros(uint64(c.GetP50Micros())),
			P90:             fromMicros(uint64(c.GetP90Micros())),
			P99:             fromMicros(uint64(c.GetP99Micros())),
			Samples:         c.GetSamples(),
			RequestsPerFlow: float64(c.GetRequestsMilli()) / milli,
			ResponseBytes:   c.GetResponseBytes(),
		})
	}
	return x
}

func micros32(d time.Duration) uint32 {
	return uint32(min(max(d, 0).Microseconds(), math.MaxUint32))
}

// maxWork bounds the work that is taken from a report: more than a backend server can do
// before all callers have given up.
const maxWork = 10 * time.Minute

func fromMicros(n uint64) time.Duration {
	return time.Duration(min(n, uint64(maxWork.Microseconds()))) * time.Microsecond
}
