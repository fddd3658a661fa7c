package integration

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentilshed/lentilshed/control"
	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/packet"
	"github.com/stretchr/testify/require"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
)

const (
	floodTime   = time.Second
	floodRounds = 8
	pageSize    = 4096
	clockTicks  = 100
	// footprintFlows is the number of flows that three targets accept before
	// their speeds are known.
	footprintFlows = 600
)

// sink counts the datagrams that reach it.
type sink struct {
	socket *net.UDPConn
	count  atomic.Int64
}

func newSink(b *testing.B) *sink {
	b.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(b, err)
	_ = c.SetReadBuffer(4 << 20)
	s := &sink{
		socket: c,
	}
	b.Cleanup(func() { _ = c.Close() })
	go func() {
		p := make([]byte, 9001)
		for {
			if _, _, err := c.ReadFromUDPAddrPort(p); err != nil {
				return
			}
			s.count.Add(1)
		}
	}()
	return s
}

func (s *sink) address() string {
	return s.socket.LocalAddr().String()
}

// BenchmarkBalancerAgainstBareForwarder floods a balancer process and a bare
// forwarder process in turn, and reports their rates of forwarded packets and
// the ratio of these.
func BenchmarkBalancerAgainstBareForwarder(b *testing.B) {
	s := newSink(b)
	balancer := startBalancerForSink(b, s.address())
	bare := startBareForwarder(b, s.address())
	packets := floodPackets()
	for b.Loop() {
		var forwarded [2]int64
		for range floodRounds {
			for i, to := range []string{bare, balancer} {
				before := s.count.Load()
				flood(b, to, packets)
				time.Sleep(50 * time.Millisecond)
				forwarded[i] += s.count.Load() - before
			}
		}
		seconds := floodRounds * floodTime.Seconds()
		b.ReportMetric(float64(forwarded[0])/seconds, "bare_packets/s")
		b.ReportMetric(float64(forwarded[1])/seconds, "balancer_packets/s")
		b.ReportMetric(float64(forwarded[1])/float64(forwarded[0]), "ratio")
	}
}

// startBalancerForSink starts a balancer whose only target is the sink, and
// returns its packet address.
func startBalancerForSink(b *testing.B, next string) string {
	b.Helper()
	c := newCluster(b)
	c.addBalancer("b1", "muenchen-a")
	c.declare()
	announceTarget(b, c.seeds[0], next)
	c.eventually("the target is in the roster", func() bool {
		out, err := c.ctl("show", "targets")
		return err == nil && strings.Contains(out, "liedlive-1")
	})
	time.Sleep(200 * time.Millisecond)
	return c.packetAddresses["b1"].String()
}

// announceTarget announces an agent with the given packet address to the
// balancer with the control address to, until the benchmark ends.
func announceTarget(b *testing.B, to, packets string) {
	b.Helper()
	stop := make(chan struct{})
	b.Cleanup(func() { close(stop) })
	d := control.NewDialer(control.Handler{
		Hello: func() *controlpb.Hello {
			return &controlpb.Hello{
				Name:    "liedlive-1",
				Role:    "agent",
				Service: service,
			}
		},
		Open: func(c *control.Conn) {
			go func() {
				for c.Send(announcement(packets)) {
					select {
					case <-stop:
						return
					case <-time.After(300 * time.Millisecond):
					}
				}
			}()
		},
		Message: func(*control.Conn, *controlpb.Envelope) {},
		Close:   func(*control.Conn) {},
	})
	d.SetAddresses([]string{to})
	b.Cleanup(d.Close)
}

func announcement(packets string) *controlpb.Envelope {
	return &controlpb.Envelope{
		Body: &controlpb.Envelope_Announce{
			Announce: &controlpb.Announce{
				Member: &controlpb.Member{
					Target:        "liedlive-1",
					Incarnation:   1,
					Service:       service,
					Domain:        "muenchen-a",
					PacketAddress: packets,
					Weight:        100,
					State:         controlpb.MemberState_MEMBER_STATE_JOINED,
				},
			},
		},
	}
}

func startBareForwarder(b *testing.B, next string) string {
	b.Helper()
	listen := freeAddress(b)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), bareListen+"="+listen, bareNext+"="+next)
	require.NoError(b, cmd.Start())
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	time.Sleep(300 * time.Millisecond)
	return listen
}

// floodPackets returns packets of many flows in the encoding of the fabric.
func floodPackets() [][]byte {
	l := make([][]byte, 1024)
	for i := range l {
		p := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize+100)
		header.IPv4(p).Encode(&header.IPv4Fields{
			TotalLength: uint16(len(p)),
			TTL:         64,
			Protocol:    uint8(header.TCPProtocolNumber),
			SrcAddr:     tcpip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}),
			DstAddr:     tcpip.AddrFrom4(serviceAddress.Addr().As4()),
		})
		header.TCP(p[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
			SrcPort:    uint16(20000 + i),
			DstPort:    serviceAddress.Port(),
			DataOffset: header.TCPMinimumSize,
			Flags:      header.TCPFlagAck,
		})
		d, _ := packet.NewCodec().EncodePlain(p)
		l[i] = append([]byte(nil), d...)
	}
	return l
}

func flood(b *testing.B, to string, packets [][]byte) {
	b.Helper()
	c, err := net.Dial("udp4", to)
	require.NoError(b, err)
	defer func() { _ = c.Close() }()
	end := time.Now().Add(floodTime)
	for i := 0; time.Now().Before(end); i++ {
		_, _ = c.Write(packets[i%len(packets)])
	}
}

// BenchmarkProcessFootprint reports the resident memory of a balancer and an agent
// with and without flows, and the shares of a core that they use without flows.
func BenchmarkProcessFootprint(b *testing.B) {
	c := newCluster(b)
	c.addBalancer("b1", "muenchen-a")
	c.addBalancer("b2", "nuernberg")
	c.declare()
	c.addAgent("liedlive-1", "muenchen-a")
	c.addAgent("liedlive-2", "nuernberg")
	c.addAgent("liedlive-3", "regensburg")
	c.awaitJoined("liedlive-1", "liedlive-2", "liedlive-3")
	for b.Loop() {
		balancer := c.balancers["b1"]
		agent := c.agents["liedlive-1"]
		share := processorShares(balancer, agent)
		b.ReportMetric(share[0], "balancer_core_share")
		b.ReportMetric(share[1], "agent_core_share")
		b.ReportMetric(residentMB(balancer), "balancer_MB")
		empty := residentMB(agent)
		b.ReportMetric(empty, "agent_MB")
		callers := c.openFlows(footprintFlows)
		time.Sleep(2 * time.Second)
		held, _ := c.metric(agent, "lentilshed_agent_flows")
		b.ReportMetric(held, "agent_flows")
		b.ReportMetric((residentMB(agent)-empty)*1000/held, "agent_KB/flow")
		b.ReportMetric(residentMB(balancer), "balancer_MB_with_flows")
		callers.Close()
	}
}

// processorShares returns the shares of a core that processes use, measured over
// five seconds.
func processorShares(l ...*process) []float64 {
	const window = 5 * time.Second
	var before, share []float64
	for _, p := range l {
		before = append(before, processorSeconds(p))
	}
	time.Sleep(window)
	for i, p := range l {
		share = append(share, (processorSeconds(p)-before[i])/window.Seconds())
	}
	return share
}

// residentMB returns the resident memory of a process, in MB.
func residentMB(p *process) float64 {
	f := readProc(p, "statm")
	var total, pages float64
	_, _ = fmt.Sscan(f, &total, &pages)
	return pages * pageSize / 1e6
}

// processorSeconds returns the processor time of a process so far, in seconds.
func processorSeconds(p *process) float64 {
	_, rest, _ := strings.Cut(readProc(p, "stat"), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	var user, system float64
	_, _ = fmt.Sscan(f[11], &user)
	_, _ = fmt.Sscan(f[12], &system)
	return (user + system) / clockTicks
}

func readProc(p *process, name string) string {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, name))
	return string(b)
}
