package queue

// The places of a request in heaps: that of its deadline, and that of when it has to leave.
const (
	placeDeadline = iota
	placeLeave
)

// requestHeap is a heap of requests by one of their times, then by arrival. It implements
// heap.Interface.
type requestHeap struct {
	list  []*Request
	place int
}

// Len implements sort.Interface.
func (h *requestHeap) Len() int {
	return len(h.list)
}

// Less implements sort.Interface.
func (h *requestHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	if c := a.times[h.place].Compare(b.times[h.place]); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

// Swap implements sort.Interface.
func (h *requestHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].places[h.place] = i
	h.list[j].places[h.place] = j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.places[h.place] = len(h.list)
	h.list = append(h.list, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	n := len(h.list) - 1
	r := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	return r
}
