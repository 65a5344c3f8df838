package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Hidden verbs, with which a run starts the soak again as a server or a caller.
const (
	serverVerb = "server"
	callerVerb = "caller"
)

// runVerb runs a server or a caller if the arguments say so, and reports whether they do.
func runVerb(arguments []string) bool {
	if len(arguments) == 0 {
		return false
	}
	var b backendConfig
	var c callerConfig
	p, v := flaggy.NewParser("soak"), flaggy.NewSubcommand(arguments[0])
	switch arguments[0] {
	case serverVerb:
		v.String(&b.id, "", "id", "ID")
		v.String(&b.service, "", "service", "service")
		v.String(&b.software, "", "software", "software version")
		v.String(&b.address, "", "address", "address to listen on")
		v.StringSlice(&b.controls, "", "control", "address of a control replica")
		v.UInt64(&b.seed, "", "seed", "seed of how it writes")
		v.Int(&b.numbering, "", "numbering", "how the service numbers events")
		v.Int(&b.weights, "", "weights", "weight version of an engine")
	case callerVerb:
		v.String(&c.name, "", "name", "name")
		v.StringSlice(&c.fronts, "", "front", "address of an entry")
		v.String(&c.protocol, "", "protocol", "HTTP version")
		v.Bool(&c.closes, "", "closes", "ask the entry to close each connection")
		v.Bool(&c.long, "", "long", "send long streams only")
		v.UInt64(&c.seed, "", "seed", "seed")
	default:
		return false
	}
	v.Hidden = true
	p.AttachSubcommand(v, 1)
	err := p.ParseArgs(arguments)
	if err == nil {
		switch arguments[0] {
		case serverVerb:
			err = runBackend(b)
		case callerVerb:
			err = runCaller(c)
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "soak: %s: %v\n", arguments[0], err)
		os.Exit(exitUsage)
	}
	return true
}
