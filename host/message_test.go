package host

import (
	"net/netip"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/director"
	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/freshness"
	"github.com/lentilshed/lentilshed/holder"
	"github.com/lentilshed/lentilshed/relay"
	"github.com/lentilshed/lentilshed/routing"
	"github.com/stretchr/testify/require"
)

// headerBytes is what IP and UDP add to a datagram.
const headerBytes = 28

// controlBudget is the users' limit of control for each node, in bytes a second.
const controlBudget = 3 * 1024

// digestsPerSecond is the bound that package freshness tests.
const digestsPerSecond = 9.5

// TestControlFitsItsBudget adds up what a balancer and an agent send and receive at
// the target size of 1,875 balancers and 18,750 agents a region: 47 new flows a second
// at a balancer, 4.7 at an agent, hardly two in a lease to the same one.
func TestControlFitsItsBudget(t *testing.T) {
	report := sizeOf(t, reportOf(director.Member{
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
	digest := sizeOf(t, digestOf(d))
	for range 3 {
		d.Watchers = append(d.Watchers, freshness.Watcher{
			Hash: 1 << 60,
			Age:  time.Second,
		})
	}
	naming := sizeOf(t, digestOf(d))
	question := sizeOf(t, solicitOf(&routing.Config{
		Version: 1_000_000,
		Services: map[string]routing.Service{
			"liedlive-1": {ColdRate: 20, MaxFlows: 2000},
		},
		IdleTimeout: 15 * time.Second,
	}, "liedlive-1"))
	query := sizeOf(t, queryOf([]holder.QueriedFlow{
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
	t.Logf("report %d, digest %d, with watchers %d, solicit %d, query of one flow %d bytes", report, digest, naming, question, query)

	// Three sentinels report twice a second; a lease of 2 s is renewed before 0.7 s.
	sentinels := 3 * (2*report + question*10/13)
	// Package freshness tests that a balancer sends at most digestsPerSecond; as many
	// come in. One tell in a second names the watchers, to five peers.
	digests := int(2 * (digestsPerSecond*float64(digest) + 5*float64(naming-digest)))
	t.Logf("a balancer: sentinels %d, digests %d, snapshots %d bytes a second", sentinels, digests, snapshotRate)
	require.LessOrEqual(t, sentinels+digests+snapshotRate, controlBudget, "a balancer")

	// Each report to a sentinel's balancer is one that an agent sends: 1,875 times 3
	// for 18,750 agents.
	followed := sentinels * 1875 / 18750
	require.LessOrEqual(t, followed, controlBudget, "an agent")
}

func sizeOf(t *testing.T, d *controlpb.Datagram) int {
	t.Helper()
	b, err := relay.AppendControl(nil, d)
	require.NoError(t, err)
	return len(b) + headerBytes
}
