package usersstore

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// Declaration is a configuration that an operator declares.
type Declaration struct {
	Version  int
	Routes   []Route
	Services []Service
	// IdleTimeout is the silence after which a flow may be removed.
	IdleTimeout time.Duration
}

// Route assigns an address and a port to a service.
type Route struct {
	Host    string
	Port    int
	Service string
	// Class has further fields of the route, such as its priority.
	Class map[string]any
}

// Service is a declared service. ColdRate is the number of new flows per second that
// a cold backend server of it can handle.
type Service struct {
	Name     string
	ColdRate float64
}

// Declare stores a configuration. It is acknowledged when Declare returns.
func (s *Server) Declare(d Declaration) {
	routes := []map[string]any{}
	for _, r := range d.Routes {
		route := map[string]any{
			"name":        fmt.Sprintf("%s-%d", r.Service, r.Port),
			"host":        r.Host,
			"path_prefix": fmt.Sprintf("/%d/", r.Port),
			"service":     r.Service,
		}
		maps.Copy(route, r.Class)
		routes = append(routes, route)
	}
	services := []map[string]any{}
	for _, x := range d.Services {
		services = append(services, map[string]any{
			"name":         x.Name,
			"health_path":  "/health",
			"warmup_per_s": x.ColdRate,
		})
	}
	s.Put("config", "main", encode(map[string]any{
		"version":  d.Version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"idle_timeout_ms": d.IdleTimeout.Milliseconds(),
		},
	}))
}

// TakeOutOfService declares that a failure domain is out of service and must get no
// more packets, until ReturnToService is called.
func (s *Server) TakeOutOfService(domain string) {
	s.Put("evacuations", domain, json.RawMessage("{}"))
}

// ReturnToService puts a failure domain back into service.
func (s *Server) ReturnToService(domain string) {
	s.Delete("evacuations", domain)
}
