package host

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/outlier"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

// headerBytes is what IP and UDP add to a datagram.
const headerBytes = 28

// controlBudget is the users' limit of control traffic for each node, in bytes a
// second.
const controlBudget = 3 * 1024

// digestsPerSecond is the bound that package freshness tests.
const digestsPerSecond = 9.5

// TestControlFitsItsBudget checks that the control traffic of a balancer and of an agent
// stays within controlBudget at the target size of 1,875 balancers and 18,750 agents a
// region, with 47 new flows a second at a balancer and 4.7 at an agent. An agent hardly
// gets two flows from the same balancer within a lease.
func TestControlFitsItsBudget(t *testing.T) {
	loadReport := holder.Report{
		HasLoad: true,
		Load: cost.Load{
			Running: 5,
			Rest:    200 * time.Millisecond,
			Routes:  make([]cost.RouteCost, 3),
		},
		Failures: outlier.Estimate{
			Share:   0.2,
			Samples: 500,
		},
	}
	for _, x := range []struct {
		name string
		load holder.Report
	}{
		{name: "without load"},
		// What an agent sends to a balancer to which it is only a sentinel.
		{name: "load-aware", load: loadReport.WithoutLoad()},
	} {
		t.Run(x.name, func(t *testing.T) { testBudget(t, x.load) })
	}
}

// testBudget checks the traffic with the load and failures of the reports of sentinels.
func testBudget(t *testing.T, load holder.Report) {
	t.Helper()
	report := sizeOf(t, encodeReport(director.Member{
		Name:        "side-muenchen-a-12345",
		Service:     "liedlive-1",
		Domain:      "muenchen-a",
		Incarnation: 1_800_000_000_000_000,
		Sequence:    1_000_000,
	}, holder.Report{
		Availability:       holder.AvailabilityOpen,
		BackendIncarnation: 1_800_000_000_000,
		Uptime:             24 * time.Hour,
		Slots:              5,
		Flows:              627,
		Busy:               3.5,
		Latency:            50 * time.Millisecond,

		ConfigVersion: 1_000_000,

		HasLoad:  load.HasLoad,
		Load:     load.Load,
		Failures: load.Failures,
	}))
	d := freshness.DigestMsg{
		From: netip.MustParseAddrPort("10.1.0.10:7720"),
		States: [freshness.Kinds]freshness.State{
			{Revision: 1_000_000, Hash: 1 << 60},
			{Revision: 1_000_000, Hash: 1 << 60},
			{Revision: 1_000_000, Hash: 1 << 60},
		},
		Ages: [freshness.Kinds]time.Duration{time.Second, time.Second, 5 * time.Second},
	}
	digest := sizeOf(t, encodeDigest(d))
	for range 3 {
		d.Watchers = append(d.Watchers, freshness.Watcher{
			Hash: 1 << 60,
			Age:  time.Second,
		})
	}
	digestWithWatchers := sizeOf(t, encodeDigest(d))
	request := sizeOf(t, encodeReportRequest(&routing.Config{
		Version: 1_000_000,
		Services: map[string]routing.Service{
			"liedlive-1": {ColdRate: 20, MaxFlows: 2000},
		},
		IdleTimeout: 15 * time.Second,
	}, director.ReportRequestEffect{
		Service: "liedlive-1",
	}))
	query := sizeOf(t, encodeQuery([]holder.QueriedFlow{
		{
			Tuple: flow.Tuple{
				Caller:      0x64400007,
				CallerPort:  40001,
				Address:     0xc6120001,
				AddressPort: 443,
			},
			Ack: 1 << 31,
		},
	}))
	t.Logf("report %d, digest %d, with watchers %d, report request %d, query of one flow %d bytes", report, digest, digestWithWatchers, request, query)

	// Three sentinels, the agents whose reports a balancer always requests, report twice
	// a second. A lease of 2 s is renewed 0.7 s before its end.
	sentinels := 3 * (2*report + request*10/13)
	// Package freshness tests that a balancer sends at most digestsPerSecond; as many
	// come in. One broadcast a second, to five peers, names the watchers.
	digests := int(2 * (digestsPerSecond*float64(digest) + 5*float64(digestWithWatchers-digest)))
	// Ten agents for each balancer check their configuration.
	checks := 10 * sizeOf(t, encodeConfigCheck(holder.ConfigCheckEffect{
		Version: 1_000_000,
	})) * int(time.Second) / int(holder.ConfigCheckInterval(1875))
	t.Logf("a balancer: checks %d", checks)
	t.Logf("a balancer: sentinels %d, digests %d, snapshots %d bytes a second", sentinels, digests, snapshotRate)
	require.LessOrEqual(t, sentinels+digests+checks+snapshotRate, controlBudget, "a balancer")

	// The traffic of the sentinels of 1,875 balancers, 3 each, is shared by 18,750 agents.
	reports := sentinels * 1875 / 18750
	require.LessOrEqual(t, reports, controlBudget, "an agent")
}

func sizeOf(t *testing.T, d *controlpb.Datagram) int {
	t.Helper()
	b, err := relay.AppendControl(nil, d)
	require.NoError(t, err)
	return len(b) + headerBytes
}
