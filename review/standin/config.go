package main

import "time"

// coldStart is how long a server is cold after its start.
const coldStart = 10 * time.Second

// route returns a route of the configuration, with a latency objective of 300 ms.
func route(name, prefix, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": clientHost, "pathPrefix": prefix, "type": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 300,
		"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": kind == "streaming",
		"targetGapMs": 250,
	}
}

// service returns a service of the configuration.
func service(name string, coldPerS float64) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false, "coldStartS": coldStart.Seconds(), "coldPerS": coldPerS,
	}
}

// configure writes the first configuration.
func (w *world) configure(routes, services []map[string]any) error {
	err := w.put("op/config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "tenant", "apiKeys": []string{clientKey}, "priority": 1}},
	})
	w.record("operator: the configuration is confirmed")
	return err
}
