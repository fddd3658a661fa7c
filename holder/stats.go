package holder

// Stats counts what an agent did since its start.
type Stats struct {
	Opened          uint64
	Rebuilt         uint64
	Offered         uint64
	Returned        uint64
	ToTarget        uint64
	ToCaller        uint64
	Forged          uint64
	Evicted         uint64
	Reset           uint64
	Probes          uint64
	StaleHeartbeats uint64
	Rejected        [RejectService + 1]uint64
}
