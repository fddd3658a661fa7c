// Package target identifies the backend servers that flows are sent to, learns the
// capacity of each and admits flows within it.
package target

// ID identifies one target; it stays the same across restarts of its agent.
type ID string

// Incarnation distinguishes two runs of the agent of one target. Messages of a lower
// incarnation are ignored once a higher one is known.
type Incarnation uint64
