package main

import "encoding/json"

// route is a rule of the operator's configuration.
type route struct {
	name, kind, host, prefix, service string
	timeout                           float64
	attempts                          int
	open                              bool
}

// tenant is a tenant of the operator's configuration.
type tenant struct {
	name        string
	keys        []string
	rate, burst float64
}

// configText returns a version of the operator's configuration.
func configText(version int, routes []route, tenants []tenant, services ...string) []byte {
	message := map[string]any{
		"version": version,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-s": 3, "idle-timeout-s": 15},
	}
	hosts := map[string][]any{}
	var order []string
	for _, r := range routes {
		if _, ok := hosts[r.host]; !ok {
			order = append(order, r.host)
		}
		hosts[r.host] = append(hosts[r.host], map[string]any{
			"name": r.name, "type": r.kind, "aim-s": 2, "priority": 1, "auth-exempt": r.open,
			"match":  map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout-s": r.timeout, "max-attempts": r.attempts},
		})
	}
	var listeners []any
	for _, host := range order {
		listeners = append(listeners, map[string]any{"host": host, "policy": hosts[host]})
	}
	message["listeners"] = listeners
	var clusters []any
	for _, service := range services {
		clusters = append(clusters, map[string]any{"name": service, "health-path": "/health", "max-conns": 532})
	}
	message["clusters"] = clusters
	if len(tenants) > 0 {
		var list []any
		for _, t := range tenants {
			list = append(list, map[string]any{"name": t.name, "api-keys": t.keys, "priority": 1, "rate-per-s": t.rate, "burst": t.burst})
		}
		message["tenants"] = list
	}
	data, _ := json.Marshal(message)
	return data
}
