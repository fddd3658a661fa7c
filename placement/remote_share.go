package placement

import (
	"math"
	"time"
)

const (
	// remoteShareRise is the time constant with which a RemoteShare grows: callers that all
	// return at once may crowd a domain within a second.
	remoteShareRise = 200 * time.Millisecond
	// remoteShareFall is that with which it shrinks: twice the time between two reports, so
	// that the relief of the domain does not end the cause of it at once.
	remoteShareFall = time.Second
)

// RemoteShare is the share of a service's new flows that may go to other failure domains. It
// follows the excess of the local delay with hysteresis: reports are half a second old, and if all
// balancers followed them at once, all flows would move to another domain and back again.
type RemoteShare struct {
	share     float64
	updatedAt time.Time
}

// Share returns the present share.
func (r RemoteShare) Share() float64 {
	return r.share
}

// Follow returns the share once it has moved towards wanted since the latest update.
func (r RemoteShare) Follow(now time.Time, wanted float64) RemoteShare {
	d := now.Sub(r.updatedAt)
	window := remoteShareFall
	if wanted > r.share {
		window = remoteShareRise
	}
	keep := math.Exp(-float64(bounded(d)) / float64(window))
	return RemoteShare{
		share:     r.share*keep + wanted*(1-keep),
		updatedAt: now,
	}
}
