package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUsage  = 2
)

// Default numbers of processes, and the largest numbers that the addresses of a run allow.
const (
	defaultReplicas = 3
	defaultEntries  = 2
	maxReplicas     = 9
	maxEntries      = 200
)

func main() {
	if runVerb(os.Args[1:]) {
		return
	}
	first, seeds, parallel, seconds := uint64(1), 1, 1, 20
	c := runConfig{replicas: defaultReplicas, entries: defaultEntries}
	flaggy.SetName("soak")
	flaggy.SetDescription("runs a site under faults and checks its guarantees")
	flaggy.SetVersion("")
	flaggy.UInt64(&first, "f", "first", "first seed; 0 means a random one")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds")
	flaggy.Int(&parallel, "p", "parallel", "number of seeds that run concurrently")
	flaggy.Int(&seconds, "s", "seconds", "duration of each run under faults")
	flaggy.Int(&c.replicas, "r", "replicas", "number of control processes, 3 to 9")
	flaggy.Int(&c.entries, "e", "entries", "number of entry processes, 1 to 200")
	flaggy.String(&c.program, "", "program", "path of hornbeamwood-platform; default: built from source")
	flaggy.String(&c.folder, "", "folder", "folder for logs and reports; default: a temporary folder")
	flaggy.Bool(&c.killsOnly, "k", "kills-only", "only kill processes, servers and callers that are processes of their own among them")
	flaggy.Bool(&c.quickRestarts, "q", "quick-restarts", "killed servers may be back under their IDs at once")
	flaggy.Bool(&c.damagesDisks, "d", "damaged-disks", "replicas that lose their disks get them back damaged")
	flaggy.Parse()
	if seeds < 1 || parallel < 1 || seconds < 1 {
		fmt.Fprintln(os.Stderr, "soak: --seeds, --parallel and --seconds must be at least 1")
		os.Exit(exitUsage)
	}
	if c.replicas < defaultReplicas || c.replicas > maxReplicas || c.entries < 1 || c.entries > maxEntries {
		fmt.Fprintln(os.Stderr, "soak: --replicas must be 3 to 9 and --entries 1 to 200")
		os.Exit(exitUsage)
	}
	if first == 0 {
		first = uint64(time.Now().UnixNano() % 1e9)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	c.length = time.Duration(seconds) * time.Second
	os.Exit(soak(ctx, c, first, seeds, parallel))
}

func soak(ctx context.Context, c runConfig, first uint64, seeds, parallel int) int {
	var err error
	if c.folder, c.program, err = prepare(ctx, c.folder, c.program); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return exitUsage
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	brokenSeeds := 0
	slots := make(chan struct{}, parallel)
	for i := range seeds {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			c := c
			c.seed = first + uint64(i)
			r := run(ctx, c)
			mu.Lock()
			defer mu.Unlock()
			if ctx.Err() != nil {
				fmt.Printf("seed %d: interrupted\n", c.seed)
				return
			}
			fmt.Println(r)
			if len(r.broken()) > 0 {
				brokenSeeds++
			}
		})
	}
	all.Wait()
	fmt.Printf("%d seeds from %d on, %d broken; logs in %s\n", seeds, first, brokenSeeds, c.folder)
	if brokenSeeds > 0 || ctx.Err() != nil {
		return exitBroken
	}
	return exitHeld
}

// prepare returns the folder for logs and the program, which it builds if none is given.
func prepare(ctx context.Context, folder, program string) (string, string, error) {
	if folder == "" {
		f, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return "", "", err
		}
		folder = f
	}
	if program != "" {
		return folder, program, nil
	}
	program = filepath.Join(folder, "hornbeamwood-platform")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "hornbeamwood/platform/hornbeamwood-platform").CombinedOutput()
	if err != nil {
		return "", "", fmt.Errorf("build: %w: %s", err, out)
	}
	return folder, program, nil
}
