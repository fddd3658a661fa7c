// Package failure attaches the sentinel errors that callers test for to errors
// with more specific messages.
package failure

// Mark returns an error with the message of err that also matches the sentinel,
// in errors.Is of the standard library and of cockroachdb/errors. It returns nil for a
// nil err.
//
//	return failure.Mark(errors.Newf("%s: unknown key", key), ErrInvalid)
func Mark(err, sentinel error) error {
	if err == nil {
		return nil
	}
	return &marked{
		error:    err,
		sentinel: sentinel,
	}
}

// marked is an error with a sentinel beside its own chain.
type marked struct {
	error
	sentinel error
}

// Unwrap returns the error and the sentinel.
func (m *marked) Unwrap() []error {
	return []error{m.error, m.sentinel}
}
