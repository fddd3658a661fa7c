package measure

// RacesResult counts the outcomes of the changes of RunRaces.
type RacesResult struct {
	Balancers                int     `json:"balancers"`
	Seed                     uint64  `json:"seed"`
	Faults                   bool    `json:"faults"`
	Accepted                 int     `json:"changes_accepted"`
	LostRaces                int     `json:"changes_lost_race"`
	Unknown                  int     `json:"changes_unknown"`
	Lost                     int     `json:"changes_lost"`
	Reverted                 int     `json:"changes_reverted"`
	AppliedTwice             int     `json:"changes_applied_twice"`
	InForceP50MS             float64 `json:"in_force_p50_ms"`
	InForceP99MS             float64 `json:"in_force_p99_ms"`
	InForceMaxMS             float64 `json:"in_force_max_ms"`
	Outages                  int     `json:"outages"`
	Restarts                 int     `json:"balancers_restarted"`
	InstancesDisagreeing     int     `json:"instances_disagreeing_at_end"`
	PlatformCallsPerSecond   float64 `json:"platform_calls_per_second"`
	ControlBytesPerSecondMax float64 `json:"control_bytes_per_second_max_node"`
	// Slowest is the change that took longest until it was in force.
	Slowest SlowestChange `json:"longest"`
}

// SlowestChange describes the change that took longest until it was in force,
// with the faults around it.
type SlowestChange struct {
	// AcceptedMS counts from the start of the run, TookMS from the acceptance.
	AcceptedMS int64 `json:"accepted_ms"`
	TookMS     int64 `json:"took_ms"`
	// FirstReceivedMS is the time from acceptance until the first balancer had
	// the change.
	FirstReceivedMS int64    `json:"first_heard_ms"`
	Faults          []string `json:"faults"`
}
