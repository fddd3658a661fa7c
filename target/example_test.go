package target_test

import (
	"fmt"
	"time"

	"github.com/lentilshed/lentilshed/target"
)

func ExampleGate() {
	now := time.Unix(1_800_000_000, 0)
	g := target.NewGate(target.GateConfig{
		Limit:     2000,
		ColdShare: 0.1,
		Warmup:    10 * time.Second,
	}, now)
	fmt.Println(g.Limit(now), g.Limit(now.Add(5*time.Second)), g.Limit(now.Add(time.Minute)))
	// Output: 50 275 500
}
