// Package soak runs the real programs as separate processes on one machine, does them
// harm from outside, and checks the promises to callers and backend servers meanwhile.
package soak
