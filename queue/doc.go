// Package queue keeps the requests that wait at an agent until its backend server takes more,
// with their packets, and decides which of them starts next. It answers bursts of requests of
// several urgencies on flows that are already open: without it, they wait at the backend server
// in order of arrival.
//
// Requests start by priority, then by deadline. Three rules bend this order:
//   - Of the requests of one priority, those that can no longer meet their deadline come after
//     those that can.
//   - One of 16 starts of a priority goes to its longest-waiting request.
//   - While less urgent requests wait, at least one of 16 consecutive starts is one of them.
//
// The queue has no clock and does no I/O.
package queue
