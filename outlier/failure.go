package outlier

// Failure is a way in which a request failed, as an agent sees it.
type Failure uint8

const (
	// FailureReset means that the backend server has reset the flow before a response.
	FailureReset Failure = iota
	// FailureSilence means that no response came until the caller gave up.
	FailureSilence
	// FailureShort means that the response was far shorter and faster than usual.
	FailureShort
	// Failures is the number of ways.
	Failures
)

var failureNames = [...]string{"reset", "silence", "short"}

// String returns the failure as metric labels have it.
func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "unknown"
}
