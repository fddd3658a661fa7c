package main

import (
	"strconv"
	"time"

	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/placement"
	"github.com/lentilshed/lentilshed/telemetry"
	"github.com/uber-go/tally/v4"
)

// metricsInterval is the time between two updates of the metrics.
const metricsInterval = 2 * time.Second

// serveMetrics serves metrics at the metrics address, if there is one.
func (p *passthrough) serveMetrics() error {
	if p.settings.MetricsAddress == "" {
		return nil
	}
	p.metrics = telemetry.NewMetrics(p.settings.Role, p.settings.Name)
	a, err := telemetry.NewAdminServer(p.settings.MetricsAddress, p.metrics.Handler, func() error { return nil })
	if err != nil {
		return err
	}
	p.admin = a
	go func() {
		t := time.NewTicker(metricsInterval)
		defer t.Stop()
		for range t.C {
			p.updateGauges(p.metrics.Scope)
		}
	}()
	return nil
}

func balancerMetrics(c tally.Scope, s director.Stats) {
	gauge(c, "packets_delivered", s.Delivered)
	gauge(c, "flows_placed", s.Placed)
	gauge(c, "flows_refused", s.Refused)
	gauge(c, "packets_returned", s.Rejected)
	gauge(c, "flows_reset", s.Reset)
	gauge(c, "packets_forged", s.Forged)
	gauge(c, "packets_without_config", s.NoConfig)
	gauge(c, "searches", s.Lookups)
	gauge(c, "searches_dropped", s.LookupsDropped)
	gauge(c, "searches_timed_out", s.LookupsTimedOut)
	gauge(c, "searches_found", s.LookupsFound)
	gauge(c, "searches_unheld", s.LookupsUnheld)
	gauge(c, "packets_offered", s.Offers)
	gauge(c, "flows_verified", s.Verified)
	gauge(c, "flows_recalled", s.Restored)
	gauge(c, "agent_lists", s.ListRequests)
	levelGauges(c, "flows_refused_by_priority", s.RefusedByLevel)
	levelGauges(c, "flows_deferred", s.Deferred)
	gauge(c, "config_version", uint64(s.ConfigVersion))
	c.Gauge("flows_known").Update(float64(s.Hints))
	c.Gauge("agents_known").Update(float64(s.Members))
	c.Gauge("servers_ejected").Update(float64(s.ServersEjected))
}

// ageGauges updates the times since each piece of declared state was last confirmed as the
// newest.
func ageGauges(c tally.Scope, ages [freshness.Kinds]time.Duration) {
	for k, age := range ages {
		tags := map[string]string{
			"state": freshness.Kind(k).Label(),
		}
		c.Tagged(tags).Gauge("state_age_seconds").Update(age.Seconds())
	}
}

func agentMetrics(c tally.Scope, s holder.Stats) {
	gauge(c, "flows_opened", s.Opened)
	gauge(c, "flows_rebuilt", s.Rebuilt)
	gauge(c, "packets_offered", s.Offered)
	gauge(c, "packets_returned", s.Returned)
	gauge(c, "packets_to_backend", s.ToBackend)
	gauge(c, "packets_to_callers", s.ToCaller)
	gauge(c, "packets_forged", s.Forged)
	gauge(c, "flows_evicted", s.Evicted)
	gauge(c, "flows_reset", s.Reset)
	gauge(c, "probes", s.Probes)
	gauge(c, "heartbeats_stale", s.StaleHeartbeats)
	levelGauges(c, "flows_refused_by_priority", s.RefusedByLevel)
	levelGauges(c, "flows_deferred", s.Deferred)
	c.Gauge("flows_open").Update(float64(s.Open))
	c.Gauge("failure_share").Update(s.FailureShare)
	for f, n := range s.FailedResponses {
		gauge(c.Tagged(map[string]string{"reason": outlier.Failure(f).String()}), "failed_responses", n)
	}
	for r, n := range s.Rejected {
		if r > 0 {
			gauge(c.Tagged(map[string]string{"reason": holder.RejectReason(r).String()}), "packets_rejected", n)
		}
	}
	latencyGauges(c, "answer_latency_bucket", s.Responses[:])
	for p, q := range s.Queue {
		if q != (holder.QueueStats{}) {
			queueMetrics(c.Tagged(map[string]string{"priority": strconv.Itoa(p)}), q)
		}
	}
}

// queueMetrics updates the metrics of the waiting requests of one priority.
func queueMetrics(c tally.Scope, s holder.QueueStats) {
	c.Gauge("requests_queued").Update(float64(s.Waiting))
	gauge(c, "queue_full", s.Full)
	gauge(c, "queue_expired", s.Expired)
	latencyGauges(c, "queue_wait_bucket", s.Waits[:])
}

// latencyGauges updates the buckets of a histogram by holder.LatencyBounds.
func latencyGauges(c tally.Scope, name string, counts []uint64) {
	total := uint64(0)
	for i, n := range counts {
		total += n
		le := "+Inf"
		if i < len(holder.LatencyBounds) {
			le = holder.LatencyBounds[i].String()
		}
		gauge(c.Tagged(map[string]string{"le": le}), name, total)
	}
}

// levelGauges sets the gauge of each priority that has counted anything.
func levelGauges(c tally.Scope, name string, counts [placement.PriorityLevels]uint64) {
	for p, n := range counts {
		if n > 0 {
			gauge(c.Tagged(map[string]string{"priority": strconv.Itoa(p)}), name, n)
		}
	}
}

func gauge(c tally.Scope, name string, n uint64) {
	c.Gauge(name).Update(float64(n))
}
