// Package integration tests the load balancer as real processes that reach the
// platform through a proxy, which can cut connections. It is a module of its
// own, so that its dependencies stay out of the product.
package integration
