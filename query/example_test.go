package query_test

import (
	"fmt"

	"github.com/lentilshed/lentilshed/query"
)

func ExampleParse() {
	s, _ := query.Parse("show targets of liedlive where state = draining")
	fmt.Println(s.Show.What, s.Show.Of, s.Show.Where.Column, s.Show.Where.Value)
	_, err := query.Parse("drian liedlive-2")
	fmt.Println(err)
	// Output:
	// targets liedlive state draining
	// column 1: unknown word "drian"; did you mean "drain"?
}
