package main

import (
	"encoding/json"
	"fmt"
)

// configure writes the next version of the operator's configuration, with extra routes that nobody uses. Without keys, the
// list of tenants is empty. Once
// w.noteRoute is set, it has a streaming route to the plain service as well.
func (w *world) configure(keys []string, extraRoutes int) error {
	w.version += 3
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": callersHost, "prefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
			"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "streaming",
			"resumable": kind == "streaming", "gapTargetMs": 250,
		}
	}
	routes := []any{
		route("r-draft", "/draft/", "streaming", modelService, 20000, 500, 2),
		route("r-book", "/book/", "non_idempotent", plainService, 1200, 150, 1),
		route("r-read", "/read/", "idempotent", plainService, 1200, 150, 2),
	}
	if w.noteRoute {
		routes = append(routes, route("r-note", "/note/", "streaming", plainService, 20000, 500, 2))
	}
	if w.rootRoute {
		routes = append(routes, route("r-visits", "/", "non_idempotent", plainService, 1200, 150, 1))
	}
	if w.onceRoute {
		once := route("r-once", "/once/", "streaming", modelService, 20000, 500, 2)
		once["resumable"] = false
		routes = append(routes, once)
	}
	layerMb := 1750.0
	if w.smallModel {
		layerMb = 400
	}
	for i := range extraRoutes {
		routes = append(routes, route(fmt.Sprintf("r-idle-%d", i), fmt.Sprintf("/idle%d/", i), "idempotent", plainService, 1200, 150, 2))
	}
	tenants := []any{}
	if len(keys) > 0 {
		tenants = append(tenants, map[string]any{"name": "north", "apiKeys": keys})
	}
	slots := 192
	if w.modelSlots > 0 {
		slots = w.modelSlots
	}
	raw, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes,
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 1068, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, "kvCapacity": 100000, "kvTokenBytes": 590000, "linkMbps": 400000.0, "stride": 4,
				"models":  []any{map[string]any{"name": "m0", "pace": 1.0, "loadS": 1.0, "warmS": 1.0}},
				"step_ms": 1.02, "per_seq_ms": 0.00459, "context_per_k": 0.00615, "read_per_s": 164000.0, "pairs_per_m": 0.199, "chunk": 512,
				"report_lag_ms": 200.0, "usual": map[string]int{"prompt": 775, "answer": 216}, "layers": modelLayers, "layerMb": layerMb,
				"activationBytes": 29500, "pipeMbps": 13000.0,
				"kinds": []any{map[string]any{"name": "a100", "sizeMb": 72000.0, "pace": 2.4, "readFactor": 3.2}},
			}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	if err != nil {
		return err
	}
	at := w.store.put("op/config", raw)
	w.record.printf("conf  version %d with %d keys, %d bytes, acknowledged at revision %d", w.version, len(keys), len(raw), at)
	return nil
}
