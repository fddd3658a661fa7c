package failure_test

import (
	"errors"
	"fmt"
	"io"

	"github.com/lentilshed/lentilshed/failure"
)

var errMissing = errors.New("missing")

func ExampleMark() {
	err := failure.Mark(fmt.Errorf("read name: %w", io.EOF), errMissing)
	fmt.Println(err, errors.Is(err, errMissing), errors.Is(err, io.EOF))
	// Output: read name: EOF true true
}
