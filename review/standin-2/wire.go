package main

import (
	_ "embed"
	"strings"
)

// wireText has the platform's names, which the Go code of this repository does not spell outside
// its adapter and stand-ins.
//
//go:embed wire.txt
var wireText string

var wireNames = func() map[string]string {
	m := map[string]string{}
	for l := range strings.Lines(wireText) {
		if f := strings.Fields(l); len(f) == 2 {
			m[f[0]] = f[1]
		}
	}
	return m
}()

// wire returns the platform's name for something.
func wire(key string) string {
	n, ok := wireNames[key]
	if !ok {
		panic("wire.txt has no " + key)
	}
	return n
}
