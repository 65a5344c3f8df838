package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// configApply is config_apply_ms of the settings, and configSlack what the case waits beyond it.
	configApply = 2 * time.Second
	configSlack = time.Second
	// prompts is how many prompts each tenant sends.
	prompts = 8
)

// wallConfig returns a config in which the tenant acme is isolated or not.
func wallConfig(version int, isolated bool) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-draft","host":"pule25.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1000,"priority":1,"service":"writer","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":500}],
"services":[{"name":"writer","health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":90670,"kv_token_bytes":35136,"link_mbps":130000.0,"moves":true,"backups":true,"managed":true,"stride":1,"max_concurrent":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"%s"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"acme","api_keys":["key-of-acme"],"priority":1,"isolated":%t},{"name":"rival","api_keys":["key-of-rival"],"priority":1,"isolated":false}]}`, version, model, isolated)
}

// wall makes a tenant isolated whose earlier prompts are in the memory of engines, and checks that no other tenant's
// request uses them.
func wall(s *site, trouble bool) error {
	var mu sync.Mutex
	isolatedFrom := time.Time{}
	e := func() *engine {
		return &engine{parts: map[string]part{}, onUse: func(x *server, q *http.Request, id string, made part) {
			mu.Lock()
			defer mu.Unlock()
			tenant := q.Header.Get("Tenant")
			s.record.note("%s runs %s of %s under %q: uses part %s that %s of %s made", x.id, q.Header.Get(names["attempt"]), tenant, q.Header.Get(names["salt"]), id, made.attempt, made.tenant)
			if !isolatedFrom.IsZero() && time.Now().After(isolatedFrom) && tenant != made.tenant && (tenant == "acme" || made.tenant == "acme") {
				s.record.breach("WALL: %s of %s uses part %s that %s of the isolated tenant %s made", q.Header.Get(names["attempt"]), tenant, id, made.attempt, made.tenant)
			}
		}}
	}
	for i := range 2 {
		x := e()
		if _, err := s.addServer(fmt.Sprint("i-engine-", i+1), "writer", zones[i], engineModels, 64, x.serve); err != nil {
			return err
		}
	}
	if status, err := s.putConfig(wallConfig(3, false)); err != nil || status != http.StatusOK {
		return fmt.Errorf("%w: the first config got %d, %w", errNotRun, status, err)
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if n := s.sendPrompts("acme", "key-of-acme", "a"); n < prompts/2 {
		return fmt.Errorf("%w: only %d prompts of acme were answered", errNotRun, n)
	}
	if trouble {
		status, err := s.putConfig(wallConfig(7, true))
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("%w: the second config got %d, %w", errNotRun, status, err)
		}
		s.record.note("config 7 is acknowledged: acme is isolated")
	}
	time.Sleep(configApply + configSlack)
	if trouble {
		mu.Lock()
		isolatedFrom = time.Now()
		mu.Unlock()
	}
	// What acme sends now shows that the entries have the config in force.
	s.sendPrompts("acme", "key-of-acme", "b")
	if n := s.sendPrompts("rival", "key-of-rival", "c"); n < prompts/2 {
		return fmt.Errorf("%w: only %d prompts of rival were answered", errNotRun, n)
	}
	return nil
}

// sendPrompts sends prompts with the same shared part through all entries by turns, and returns how many were answered.
func (s *site) sendPrompts(tenant, key, series string) int {
	answered := 0
	for n := range prompts {
		id := fmt.Sprintf("9c41d07be2a3%s%03d", series, n)
		q, err := http.NewRequest(http.MethodPost, "http://"+s.entries[n%len(s.entries)].ip+":8005/draft/2f", strings.NewReader("the specification dossier"))
		if err != nil {
			return answered
		}
		q.Host = "pule25.example"
		for name, v := range map[string]string{
			names["attempt"]: id, "Model": model, names["tokens"]: "13200,40", names["prefix"]: fmt.Sprintf("5c1e07a2:12800,%s0%02d:400", series, n),
			"Deadline-Ms": "10000", "X-Api-Key": key,
		} {
			q.Header.Set(name, v)
		}
		c := &http.Client{Timeout: 11 * time.Second}
		r, err := c.Do(q)
		if err != nil {
			s.record.note("%s of %s: %v", id, tenant, err)
			continue
		}
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		s.record.note("%s of %s: status %d, %d bytes, %v", id, tenant, r.StatusCode, len(b), err)
		if r.StatusCode == http.StatusOK && err == nil {
			answered++
		}
	}
	return answered
}
