package intent_test

import (
	"fmt"
	"time"

	"github.com/lentilshed/lentilshed/controlpb"
	"github.com/lentilshed/lentilshed/intent"
)

func ExampleEdit() {
	d := intent.NewDocument("bayern")
	e := intent.NewEdit(d)
	e.SetDomainOutOfService("nuernberg", true, time.Unix(1_800_000_000, 0))
	next := e.Done(&controlpb.Operation{
		Id:      "1",
		Author:  "anna",
		Summary: "take out domain nuernberg",
	})
	fmt.Println(d.Revision, d.OutOfService("nuernberg"), next.Revision, next.OutOfService("nuernberg"))
	// Output: 0 false 1 true
}
