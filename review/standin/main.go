// Command standin runs a script case of the review: it starts the project's own programs with the commands of the deploy
// file on loopback addresses, beside stand-ins of operators, clients and servers, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by their names. Each returns an error if it couldn't run.
var cases = map[string]func(s *site, trouble bool) error{
	"place":   place,
	"refused": refused,
	"stale":   stale,
	"wall":    wall,
}

// sizes are how many control replicas and entries a case has.
const controls, entries = 3, 2

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	program, err := filepath.Abs(program)
	if err != nil {
		return fail(err)
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return fail(err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, with the disruption: %t", name, trouble)
	s, err := newSite(folder, program, r, controls, entries)
	defer s.close()
	if err == nil {
		err = cases[name](s, trouble)
	}
	if err != nil {
		r.note("not run: %v", err)
		return fail(err)
	}
	n := r.count()
	r.note("the rule was broken %d times", n)
	fmt.Printf("broken %d times\n", n)
	return min(n, 1)
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}
