package settings_test

import (
	"errors"
	"fmt"

	"github.com/lentilshed/lentilshed/settings"
)

func ExampleParse() {
	_, err := settings.Parse("shed.toml", "[balancer]\nname = \"b1\"\n")
	fmt.Println(err, errors.Is(err, settings.ErrInvalid))
	// Output: shed.toml: balancer.region: is missing true
}
