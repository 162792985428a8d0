package main

// Names of the deployment's services, routes and keys.
const (
	engines  = "huvo11a"
	plain    = "wuno96b"
	chatPath = "/lohu930/2f"
	pathOnce = "/puxa403/2f"
	pathSafe = "/cufi504/fi50/2f"
	key1     = "asnmgkcuyj8pjbvk9m68"
	key2     = "k7b2ex5wa5xwyhks8nbk"
)

// configuration returns the operator's configuration, with the figures of belt-scout.
func configuration(version int) object {
	return object{
		"version": version,
		"routes": []object{
			{"name": "r-chat", "host": clientHost, "prefix": "/lohu930/", fieldKind: "streaming", "timeout-ms": 15000, "goal-ms": 400, "priority": 1, "service": engines, "max-attempts": 1, "public": false, "sticky": true, "resumable": false, "gap-goal-ms": 400},
			{"name": "r-match", "host": clientHost, "prefix": "/pufi791/", fieldKind: "streaming", "timeout-ms": 3000, "goal-ms": 500, "priority": 1, "service": engines, "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-goal-ms": 400},
			{"name": "r-order", "host": clientHost, "prefix": "/puxa403/", fieldKind: "non_idempotent", "timeout-ms": 1000, "goal-ms": 150, "priority": 2, "service": plain, "max-attempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-stock", "host": clientHost, "prefix": "/cufi504/", fieldKind: "idempotent", "timeout-ms": 1000, "goal-ms": 150, "priority": 2, "service": plain, "max-attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []object{
			{"name": engines, "health-path": "/healthz", "max-connections": 620, "protocol": "h1", "tls": false, "engine": object{"slots": 128, "kv-capacity": 460663, "kv-bytes": 18432, "bandwidth-mbps": 370000.0, "moves": true, "backups": true, "stride": 5, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0, "models": []object{{"name": "m"}}}},
			{"name": plain, "health-path": "/healthz", "max-connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  object{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tokens-per-s": 1100000},
		"tenants": tenants(),
	}
}

// tenants returns the configuration's tenants.
func tenants() []object {
	return []object{
		{"name": "hule930", fieldKeys: []string{key1}, "priority": 1},
		{"name": "wuro402", fieldKeys: []string{key2}, "priority": 1},
	}
}
