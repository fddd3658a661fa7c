// Package failure ties error messages to the sentinel errors that callers test
// for.
package failure

// Mark returns an error with the message of err that is also the sentinel, for
// errors.Is of the standard library and of any other. It returns nil for a nil
// err.
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

// Unwrap returns both chains.
func (m *marked) Unwrap() []error {
	return []error{m.error, m.sentinel}
}
