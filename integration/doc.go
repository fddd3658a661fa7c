// Package integration tests the system as real processes behind a proxy that
// cuts and slows connections. It is a module of its own, so that what it needs
// stays out of the product.
package integration
