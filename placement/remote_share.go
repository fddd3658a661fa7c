package placement

import (
	"math"
	"time"
)

// remoteShareWindow is the time constant of a RemoteShare: twice the time between two reports,
// so that the effect of a change is reported before the change is complete.
const remoteShareWindow = time.Second

// RemoteShare is the share of a service's new flows that may go to other failure domains. It
// follows the excess of the local delay slowly: reports are half a second old, and if all
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
	keep := math.Exp(-float64(max(0, min(d, maxBacklog))) / float64(remoteShareWindow))
	return RemoteShare{
		share:     r.share*keep + wanted*(1-keep),
		updatedAt: now,
	}
}
