package host

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/lentilshed/lentilshed/routing"
)

// encodingGzip is the content encoding of responses between balancers.
const encodingGzip = "gzip"

// declaredBody is the compressed response with the declared state. It is encoded once for each
// state: after a change, peers fetch it at the same time, over the same slow link.
type declaredBody struct {
	mu      sync.Mutex
	version routing.Version
	domains uint64
	body    []byte
}

// get returns the body for a state.
func (c *declaredBody) get(d declaredState) ([]byte, error) {
	version := routing.Version(0)
	if d.Config != nil {
		version = d.Config.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body != nil && c.version == version && c.domains == d.DomainsRevision {
		return c.body, nil
	}
	b, err := compressJSON(d)
	if err != nil {
		return nil, err
	}
	c.version = version
	c.domains = d.DomainsRevision
	c.body = b
	return b, nil
}

func compressJSON(x any) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	err = json.NewEncoder(w).Encode(x)
	err = errors.CombineErrors(err, w.Close())
	return b.Bytes(), errors.Wrap(err, "encode")
}

// decompress returns the content of a compressed body, up to a number of bytes.
func decompress(body []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	b, err := io.ReadAll(io.LimitReader(r, limit))
	return b, errors.Wrap(err, "decompress")
}
