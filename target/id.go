// Package target names the backend servers that carry flows and tracks what
// each of them can bear.
package target

// ID names one target; it stays the same across restarts of its agent.
type ID string

// Incarnation distinguishes two lives of a target under one ID. A higher
// incarnation fences every message of a lower one.
type Incarnation uint64
