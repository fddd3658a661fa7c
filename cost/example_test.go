package cost_test

import (
	"fmt"
	"time"

	"github.com/lentilshed/lentilshed/cost"
	"github.com/lentilshed/lentilshed/routing"
)

func ExampleTable() {
	table := cost.NewTable()
	route := routing.Address{
		Host: 0xc6120001,
		Port: 443,
	}
	fmt.Println(table.Mean(route))
	now := time.Unix(1_800_000_000, 0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		table.Observe(now, route, 20*time.Millisecond)
	}
	fmt.Println(table.Mean(route).Round(time.Millisecond))
	fmt.Println(table.Rest(route, 5*time.Millisecond).Round(time.Millisecond))
	// Output:
	// 50ms
	// 20ms
	// 15ms
}

func ExampleLoad_Age() {
	l := cost.Load{
		Running: 2,
		Rest:    60 * time.Millisecond,
	}
	l.Add(1, 40*time.Millisecond, 2)
	fmt.Println(l.Wait(1, 2))
	l.Age(20*time.Millisecond, 2)
	fmt.Println(l.Wait(1, 2))
	l.Age(20*time.Millisecond, 2)
	fmt.Println(l.Wait(1, 2))
	// Output:
	// 50ms
	// 30ms
	// 0s
}
