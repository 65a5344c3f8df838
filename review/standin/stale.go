package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// storeCount is how many stores there are; one of them becomes silent.
	storeCount = 6
	// atOnce is how many prompts fill the stores at a time.
	atOnce = 6
	// longTokens and longParts are the parts that fill a store to 0.96 of its capacity; one of shortTokens more makes the
	// system free the part that was used least recently.
	longTokens, longParts, shortTokens = 32000, 6, 1900
	storeCapacity                      = longTokens * longParts * 100 / 96
	engineCapacity                     = 40000
	// idleTime is how long a part is unused before it may be freed for others.
	idleTime = 15 * time.Second
	// freezeTime is how long the control machine stands still.
	freezeTime = 6200 * time.Millisecond
)

func staleConfig(all []*store) string {
	var text strings.Builder
	for i, x := range all {
		fmt.Fprintf(&text, `{"name":%q,"kv_store_addr":%q,"zone":%q,"kv_capacity_tokens":%d,"link_mbps":%.1f,"max_concurrent":12,"managed":true,"first_ms":6.0},`, x.name, x.address, zones[i%len(zones)], x.capacity, storeMbps)
	}
	return fmt.Sprintf(`{"version":3,"routes":[{"name":"r-draft","host":"pule25.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1000,"priority":1,"service":"writer","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_target_ms":500}],
"services":[%s{"name":"writer","health_check":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":%d,"kv_token_bytes":35136,"link_mbps":180000.0,"managed":true,"stride":1,"max_concurrent":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"%s"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, text.String(), engineCapacity, model)
}

// stale freezes the control machine that frees parts while one store is silent, and checks that it frees no part under a fetch
// after another one has taken its place.
func stale(s *site, trouble bool) error {
	var mu sync.Mutex
	waiting := map[[2]string]bool{}
	fetched, ordered := make(chan struct{}, 64), make(chan struct{}, 64)
	var all []*store
	byAddress := map[string]*store{}
	for i := range storeCount {
		x, err := s.addStore(fmt.Sprint("store-", i+1), storeCapacity)
		if err != nil {
			return err
		}
		defer x.close()
		x.onFree = func(x *store, from string, parts [][2]string) {
			s.record.note("%s orders %s to free %v", from, x.name, parts)
			if x.isDark() {
				ordered <- struct{}{}
			}
		}
		x.onEarlyFree = func(x *store, from string, p [2]string, n int) {
			s.record.breach("MIXED: %s frees part %s of %s while %d requests fetch it", from, p[1], x.name, n)
		}
		all = append(all, x)
		byAddress[x.address] = x
	}
	for i := range 6 {
		m := &memory{stores: byAddress, capacity: engineCapacity, record: s.record, sizes: map[[2]string]int{}, onFetch: func(p [2]string) {
			mu.Lock()
			defer mu.Unlock()
			if waiting[p] {
				fetched <- struct{}{}
			}
		}}
		if _, err := s.addServer(fmt.Sprint("i-engine-", i+1), "writer", zones[i%len(zones)], engineModels, 64, m.serve); err != nil {
			return err
		}
	}
	if status, err := s.putConfig(staleConfig(all)); err != nil || status != http.StatusOK {
		return fmt.Errorf("%w: the config got %d, %w", errNotRun, status, err)
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	filledFrom := time.Now()
	if err := s.fill(all); err != nil {
		return err
	}
	s.record.note("the stores are full: %s", fillLevels(all))
	// Prompts return to all parts of the other stores, so that those of the first are used least recently.
	silent := all[0]
	oldest, touchedAt := s.touch(all[1:])
	s.record.note("the prompts have returned to all others")
	if trouble {
		time.Sleep(time.Until(filledFrom.Add(idleTime + 3*time.Second)))
		silent.setDark()
		s.record.note("%s is silent from now on", silent.name)
	}
	var frozen *process
	if trouble {
		// By then the machine has withdrawn the parts to which prompts returned first, and not yet freed them.
		if err := awaitOrder(ordered, touchedAt.Add(idleTime+3700*time.Millisecond)); err != nil {
			return err
		}
		if frozen = s.holder(); frozen == nil {
			return fmt.Errorf("%w: no machine frees parts", errNotRun)
		}
	} else {
		time.Sleep(time.Until(touchedAt.Add(idleTime + 4*time.Second)))
	}
	time.Sleep(300 * time.Millisecond)
	frozenAt := time.Now()
	if trouble {
		s.record.note("%s stands still", frozen.name)
		_ = frozen.command.Process.Signal(syscall.SIGSTOP)
	}
	mu.Lock()
	for _, p := range oldest {
		waiting[p] = true
	}
	mu.Unlock()
	// The prompts return while it stands still.
	time.Sleep(time.Until(frozenAt.Add(freezeTime - 800*time.Millisecond)))
	var sent sync.WaitGroup
	for i, p := range oldest {
		sent.Go(func() { s.draft(fmt.Sprint("return-", i), i, p[1], longTokens) })
	}
	if trouble {
		awaitFetch(fetched, frozenAt.Add(freezeTime))
		time.Sleep(20 * time.Millisecond)
		s.record.note("%s goes on after %s", frozen.name, time.Since(frozenAt).Round(time.Millisecond))
		_ = frozen.command.Process.Signal(syscall.SIGCONT)
	}
	sent.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

// awaitOrder returns at the first order to the silent store after the given time.
func awaitOrder(ordered <-chan struct{}, after time.Time) error {
	timeout := time.After(40 * time.Second)
	for {
		select {
		case <-ordered:
			if time.Now().After(after) {
				return nil
			}
		case <-timeout:
			return fmt.Errorf("%w: the silent store got no orders", errNotRun)
		}
	}
}

// holder returns the control process that frees parts, the one that holds the lease for orders, by its log.
func (s *site) holder() *process {
	for _, p := range s.controls {
		b, err := os.ReadFile(filepath.Join(s.folder, p.name+".log"))
		if err == nil && strings.Contains(string(b), `"parts-freed"`) {
			return p
		}
	}
	return nil
}

// awaitFetch waits for the begin of a fetch, until the given time at most.
func awaitFetch(fetched <-chan struct{}, until time.Time) {
	select {
	case <-fetched:
	case <-time.After(time.Until(until)):
	}
}

func fillLevels(all []*store) string {
	text := ""
	for _, x := range all {
		x.mu.Lock()
		text += fmt.Sprintf("%s %d of %d; ", x.name, x.used, x.capacity)
		x.mu.Unlock()
	}
	return text
}

// fill sends prompts until all stores are as full as the system makes them.
func (s *site) fill(all []*store) error {
	n := 0
	for _, size := range []int{longTokens, shortTokens} {
		want, many := longParts*storeCount, atOnce
		if size == shortTokens {
			// Each store takes one, if the system knows of the one before.
			want, many = storeCount, 1
		}
		for saved := 0; saved < want; saved = count(all, size) {
			if n > 200 {
				return fmt.Errorf("%w: the stores don't fill: %s", errNotRun, fillLevels(all))
			}
			var sent sync.WaitGroup
			for range min(many, want-saved) {
				n++
				i := n
				sent.Go(func() { s.draft(fmt.Sprint("fill-", i), i, fmt.Sprintf("a%07x", i), size) })
			}
			sent.Wait()
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// count returns how many parts of a size the stores have.
func count(all []*store, size int) int {
	sum := 0
	for _, x := range all {
		x.mu.Lock()
		for _, v := range x.parts {
			if v.tokens == size {
				sum++
			}
		}
		x.mu.Unlock()
	}
	return sum
}

// touch has prompts return to all parts of the stores, and returns one of each store to which they return first.
func (s *site) touch(all []*store) (first [][2]string, at time.Time) {
	parts := map[[2]string]int{}
	for _, x := range all {
		x.mu.Lock()
		oldest := [2]string{}
		for p, v := range x.parts {
			parts[p] = v.tokens
			if v.tokens == longTokens && (oldest[1] == "" || p[1] < oldest[1]) {
				oldest = p
			}
		}
		x.mu.Unlock()
		first = append(first, oldest)
	}
	s.sendAll("first", first, parts)
	at = time.Now()
	for _, p := range first {
		delete(parts, p)
	}
	// Entries report every two seconds which parts are used.
	time.Sleep(2200 * time.Millisecond)
	var others [][2]string
	for p := range parts {
		others = append(others, p)
	}
	s.sendAll("touch", others, parts)
	return first, at
}

// sendAll sends a prompt for each part, some at once.
func (s *site) sendAll(name string, all [][2]string, tokens map[[2]string]int) {
	for i := 0; i < len(all); i += atOnce {
		var sent sync.WaitGroup
		for k, p := range all[i:min(len(all), i+atOnce)] {
			sent.Go(func() { s.draft(fmt.Sprint(name, "-", i+k), i+k, p[1], tokens[p]) })
		}
		sent.Wait()
	}
}

// draft sends a prompt with a shared part and waits for its answer.
func (s *site) draft(name string, n int, part string, tokens int) {
	id := fmt.Sprintf("9c41d07b%s", name)
	q, err := http.NewRequest(http.MethodPost, "http://"+s.entries[n%len(s.entries)].ip+":8005/draft/2f", strings.NewReader("the specification dossier"))
	if err != nil {
		return
	}
	q.Host = "pule25.example"
	for name, v := range map[string]string{
		names["attempt"]: id, "Model": model, names["tokens"]: fmt.Sprintf("%d,40", tokens+200), names["prefix"]: fmt.Sprintf("%s:%d,%x:200", part, tokens, name),
		"Deadline-Ms": "10000",
	} {
		q.Header.Set(name, v)
	}
	c := &http.Client{Timeout: 11 * time.Second}
	r, err := c.Do(q)
	if err != nil {
		s.record.note("%s: %v", id, err)
		return
	}
	b, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	s.record.note("%s with part %s: status %d, %d bytes, %v", id, part, r.StatusCode, len(b), err)
}
