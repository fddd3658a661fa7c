package outlier

// Estimate is the share of a backend server's recent requests that failed.
type Estimate struct {
	Share float64
	// Samples is the decayed number of requests that the share is based on.
	Samples float64
}
