package configcheck_test

import (
	"fmt"
	"os"

	"github.com/lentilshed/lentilshed/configcheck"
	"github.com/lentilshed/lentilshed/platform"
)

func ExampleCheck() {
	text, err := os.ReadFile("testdata/example.json")
	if err != nil {
		fmt.Println(err)
		return
	}
	c, _ := platform.ParseConfig(text)
	l := configcheck.Check(c, configcheck.Options{})
	for _, f := range l {
		fmt.Println(f)
	}
	fmt.Println(l.Err())
	// Output:
	// 4: error: routes[0].service: service "huvo11a" is not declared
	// 5: warning: routes[0].objective_ms: 2000 is beyond the timeout of the route, 1500
	// 8: warning: services[0]: no route names service "huvo11b"
	// errors: 1, warnings: 2: configuration is invalid
}

func ExampleDiff() {
	old, _ := platform.ParseConfig([]byte(`{"version": 3, "services": [{"name": "huvo11a", "max_conns": 500}]}`))
	c, _ := platform.ParseConfig([]byte(`{"version": 4, "services": [{"name": "huvo11a", "max_conns": 800}]}`))
	for _, l := range configcheck.Diff(old, c) {
		fmt.Println(l)
	}
	// Output:
	// ~ version: 3 -> 4
	// ~ service huvo11a: max_conns: 500 -> 800
}
