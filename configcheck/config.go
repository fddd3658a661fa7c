// Package configcheck checks an operators' configuration before it is sent, and compares it
// with the one in force. It answers the load pattern of a change that takes effect everywhere
// within a second: what a balancer leaves out or never uses has to be seen before that. The
// package decides without I/O; package platform knows the format and its names.
package configcheck

// Config is a configuration as it is written, with the place of every value.
type Config struct {
	Version  Number
	Routes   []Route
	Services []Service
	// IdleTimeout is in milliseconds.
	IdleTimeout Number
	// Unknown lists the keys that mean nothing.
	Unknown []UnknownKey
}

// Route is one entry of the routes. Objective and Timeout are in milliseconds.
type Route struct {
	Place     Place
	Name      Text
	Host      Text
	Port      Text
	Service   Text
	Split     Place
	Shares    []Share
	Priority  Number
	Objective Number
	Timeout   Number
}

// Share is one entry of a route's split.
type Share struct {
	Place   Place
	Service Text
	Weight  Number
}

// Service is one entry of the services.
type Service struct {
	Place      Place
	Name       Text
	HealthPath Text
	MaxFlows   Number
	// ColdRate is in requests a second, and WarmUp in seconds.
	ColdRate Number
	WarmUp   Number
}

// Place is where a value is written. Line is that of the enclosing entry for a value that is
// missing.
type Place struct {
	Line int
	// Key is the path of the value, such as "routes[2].name".
	Key string
	// Malformed is set for a value of a wrong type, which is left out and has a finding of
	// its own.
	Malformed bool
}

// Member returns the place of a member of the object at this place.
func (p Place) Member(name string, line int) Place {
	if p.Key != "" {
		name = p.Key + "." + name
	}
	return Place{
		Line: line,
		Key:  name,
	}
}

// Text is a text; Value is empty if it is missing.
type Text struct {
	Place Place
	Value string
}

// Number is a number with the range in which it is taken.
type Number struct {
	Place Place
	// Set is false for a number that is missing.
	Set   bool
	Value float64
	// Literal is the number as it is written.
	Literal string
	// Whole is set for a number that has no fraction.
	Whole bool
	// Max is the highest value. If Cut is set, a higher one is cut to it; otherwise the entry
	// is not taken.
	Max float64
	Cut bool
}

// UnknownKey is a key that means nothing, with the ones that are known at its place.
type UnknownKey struct {
	Place Place
	Name  string
	Known []string
}
