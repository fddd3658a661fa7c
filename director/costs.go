package director

import "github.com/lentilshed/lentilshed/cost"

// serviceCosts returns the costs of a service's routes over all of its targets, for a target
// of mean speed.
func (m *Model) serviceCosts(_ string) []cost.RouteCost {
	return nil
}
