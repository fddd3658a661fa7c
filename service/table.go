package service

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/lentilshed/lentilshed/flow"
	"github.com/lentilshed/lentilshed/target"
	"github.com/zeebo/xxh3"
)

// BucketCount is the number of buckets of a service, a power of two. More
// buckets would distribute homes more evenly, but admission balances the load
// anyway.
const BucketCount = 256

// NoHome marks a bucket without a home: the service has no usable target.
const NoHome = math.MaxUint16

// Table is the routing table of one service at one vector. It is immutable
// once built, so readers need no lock.
type Table struct {
	Name    string
	ID      uint32
	Address netip.AddrPort
	Vector  Vector
	Targets []Target
	homes   [BucketCount]uint16
}

// NewTable returns the table with the homes of buckets chosen by weighted rendezvous
// hashing over the usable targets: those eligible as homes, or all if none is eligible.
// A target out of service or without a weight is not usable.
func NewTable(name string, id uint32, address netip.AddrPort, vector Vector, targets []Target) *Table {
	t := &Table{
		Name:    name,
		ID:      id,
		Address: address,
		Vector:  vector,
		Targets: slices.Clone(targets),
	}
	slices.SortFunc(t.Targets, func(a, b Target) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	t.chooseHomes()
	return t
}

// Home returns the target whose agent decides about the flows of a bucket. It
// returns false when the service has no usable target.
func (t *Table) Home(b flow.Bucket) (*Target, bool) {
	i := t.homes[b%BucketCount]
	if i == NoHome {
		return nil, false
	}
	return &t.Targets[i], true
}

// HomeOf returns the home of a flow.
func (t *Table) HomeOf(k flow.Key) (*Target, bool) {
	return t.Home(t.Bucket(k))
}

// Bucket returns the bucket of a flow in this service.
func (t *Table) Bucket(k flow.Key) flow.Bucket {
	return k.Bucket(t.ID, BucketCount)
}

// Find returns the target with an ID.
func (t *Table) Find(id target.ID) (*Target, bool) {
	i, ok := slices.BinarySearchFunc(t.Targets, id, func(a Target, b target.ID) int {
		return strings.Compare(string(a.ID), string(b))
	})
	if !ok {
		return nil, false
	}
	return &t.Targets[i], true
}

func (t *Table) chooseHomes() {
	seeds := make([]uint64, len(t.Targets))
	for i := range t.Targets {
		seeds[i] = xxh3.HashString(string(t.Targets[i].ID))
	}
	for b := range t.homes {
		t.homes[b] = t.chooseHome(uint64(b), seeds)
	}
}

// chooseHome returns the index of the target with the highest weighted
// rendezvous score, or NoHome. When no usable target is eligible, as when all are
// leaving, the homes are chosen among the others: those take no new flows, but still
// know which agents hold the open ones.
func (t *Table) chooseHome(bucket uint64, seeds []uint64) uint16 {
	i := t.highestScore(bucket, seeds, func(x *Target) bool { return x.HomeEligible })
	if i == NoHome {
		i = t.highestScore(bucket, seeds, func(*Target) bool { return true })
	}
	return i
}

func (t *Table) highestScore(bucket uint64, seeds []uint64, eligible func(*Target) bool) uint16 {
	best := uint16(NoHome)
	top := math.Inf(-1)
	for i := range t.Targets {
		candidate := &t.Targets[i]
		if candidate.OutOfService || candidate.Weight == 0 || !eligible(candidate) {
			continue
		}
		s := score(bucket, seeds[i], candidate.Weight)
		if s > top {
			best = uint16(i)
			top = s
		}
	}
	return best
}

// score is the logarithm form of weighted rendezvous hashing: a target wins a
// bucket with probability proportional to its weight.
func score(bucket, seed uint64, weight uint32) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[0:], bucket)
	binary.LittleEndian.PutUint64(b[8:], seed)
	h := xxh3.Hash(b[:])
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(weight) / math.Log(u)
}
