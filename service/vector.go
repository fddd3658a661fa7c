// Package service builds routing tables from declared services and announced
// targets. A table is a pure function of both, so all instances that hold the
// same two versions route alike.
package service

// Vector is the pair of versions that a table was built from. Each half has one
// writer and only increases, so any two vectors can be joined.
type Vector struct {
	Intent uint64
	Roster uint64
}

// Covers reports whether v is at least as new as o in both halves.
func (v Vector) Covers(o Vector) bool {
	return v.Intent >= o.Intent && v.Roster >= o.Roster
}

// Join returns the least vector that covers both.
func (v Vector) Join(o Vector) Vector {
	return Vector{
		Intent: max(v.Intent, o.Intent),
		Roster: max(v.Roster, o.Roster),
	}
}
