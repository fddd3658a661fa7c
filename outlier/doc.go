// Package outlier recognises backend servers that fail requests while their health response is
// good, and decides which of them get no new flows.
package outlier
