// Package soak runs the real programs as separate processes on one machine, injects
// random faults from outside, and checks the guarantees to callers and backend servers
// meanwhile.
package soak
