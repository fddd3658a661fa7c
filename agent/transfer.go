package agent

import "io"

// transfer copies one direction of a flow.
type transfer struct {
	to   io.Writer
	from io.Reader
	// onRead is called when bytes have been read, before they are written.
	onRead func()
	// readFailed is set when reading failed rather than writing.
	readFailed bool
}

// run copies until end of file, for which it returns nil.
func (t *transfer) run() error {
	p, _ := spliceBuffers.Get().(*[]byte)
	defer spliceBuffers.Put(p)
	b := *p
	for {
		n, err := t.from.Read(b)
		if n > 0 {
			t.onRead()
			if _, err := t.to.Write(b[:n]); err != nil {
				return err //nolint:wrapcheck // Only whether it failed matters.
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			t.readFailed = true
			return err //nolint:wrapcheck // Only whether it failed matters.
		}
	}
}
