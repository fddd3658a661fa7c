package queue

import "math/bits"

// pool reuses the memory of requests, packets and their data, so that a queue allocates
// nothing once it has been as full as it gets.
type pool struct {
	// limit bounds the size of the unused buffers.
	limit int
	size  int
	// buffers has the unused buffers by the logarithm of their size.
	buffers  [maxBufferBits + 1][][]byte
	nodes    *node
	requests *Request
	// spent has the requests that were removed since the latest recycle, linked by newer.
	spent *Request
}

const (
	// Buffers have sizes of a power of two between these; larger ones are not reused. UDP
	// datagrams have at most 64 KB.
	minBufferBits = 8
	maxBufferBits = 16
)

func (p *pool) request() *Request {
	r := p.requests
	if r == nil {
		return &Request{}
	}
	p.requests = r.newer
	*r = Request{}
	return r
}

// node returns a packet with a copy of the data.
func (p *pool) node(x Packet) *node {
	n := p.nodes
	if n == nil {
		n = &node{}
	} else {
		p.nodes = n.next
	}
	n.Packet = x
	n.Data = append(p.buffer(len(x.Data)), x.Data...)
	n.next = nil
	return n
}

// buffer returns an empty buffer with a capacity of at least size.
func (p *pool) buffer(size int) []byte {
	c := sizeClass(size)
	if c > maxBufferBits {
		return make([]byte, 0, size)
	}
	l := p.buffers[c]
	if len(l) == 0 {
		return make([]byte, 0, 1<<c)
	}
	b := l[len(l)-1]
	p.buffers[c] = l[:len(l)-1]
	p.size -= cap(b)
	return b
}

func sizeClass(size int) int {
	return max(bits.Len(uint(max(size, 1)-1)), minBufferBits)
}

// spend takes a request that has been removed. Its packets stay valid until recycle.
func (p *pool) spend(r *Request) {
	r.older = nil
	r.newer = p.spent
	p.spent = r
}

func (p *pool) recycle() {
	for r := p.spent; r != nil; r = p.spent {
		p.spent = r.newer
		for n := r.first; n != nil; n = r.first {
			r.first = n.next
			p.keep(n.Data)
			n.Packet = Packet{}
			n.next = p.nodes
			p.nodes = n
		}
		r.last = nil
		r.newer = p.requests
		p.requests = r
	}
}

// keep makes a buffer available again, unless enough are.
func (p *pool) keep(b []byte) {
	c := sizeClass(cap(b))
	if c > maxBufferBits || p.size+cap(b) > p.limit {
		return
	}
	p.size += cap(b)
	p.buffers[c] = append(p.buffers[c], b[:0])
}
