package status

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"hornbeamwood/internal/entry/status"
)

// maxResponse bounds the bytes that are read of an entry's response.
const maxResponse = 16 << 20

// requestTimeout bounds the request.
const requestTimeout = 10 * time.Second

// Config holds the flags of the status command.
type Config struct {
	// Entry is the URL of any entry.
	Entry string
	// Key is the operator's key.
	Key string
	// JSON prints the entry's JSON instead of a table.
	JSON bool
}

// Show writes the deployment's status as one entry reports it.
func Show(ctx context.Context, c Config, w io.Writer) error {
	b, err := fetch(ctx, c)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err := w.Write(b)
		return err
	}
	var r status.Report
	if err := json.Unmarshal(b, &r); err != nil {
		return fmt.Errorf("status: can't decode the entry's response: %w", err)
	}
	return writeTable(r, w)
}

func fetch(ctx context.Context, c Config) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(c.Entry, "/")+"/status", nil)
	if err != nil {
		return nil, fmt.Errorf("--entry: %w", err)
	}
	q.Header.Set("Authorization", "Bearer "+c.Key)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponse))
	if err != nil {
		return nil, err
	}
	if r.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status: %s answered %d: %s", c.Entry, r.StatusCode, strings.TrimSpace(string(b)))
	}
	return b, nil
}

func writeTable(r status.Report, w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "entry %s, settings revision %d\n\n", r.Entry, r.Revision)
	fmt.Fprintln(t, "CONTROL REPLICA\tROLE\tTERM\tAPPLIED\tVOTERS\tCAUGHT UP\tIDENTITY\tADDRESS")
	for _, x := range r.Replicas {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%v\t%s\t%s\n", x.Name, x.Role, x.Term, x.Applied, x.Voters, x.CaughtUp, x.Identity, x.Address)
	}
	fmt.Fprintln(t, "\nENTRY WITH LEASE\tREVISION")
	for _, x := range r.Entries {
		fmt.Fprintf(t, "%s\t%d\n", x.Name, x.Revision)
	}
	fmt.Fprintln(t, "\nBACKEND SERVER\tKIND\tSTATE\tZONE\tAGE\tRUNNING\tQUEUED TOKENS\tHOLDS")
	for _, x := range r.Servers {
		age := time.Duration(x.AgeMillis) * time.Millisecond
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", x.Identity, x.Kind, x.State, x.Zone, age, x.Running, x.QueuedTokens, strings.Join(x.Holds, ","))
	}
	fmt.Fprintf(t, "\ncalls: %d live, %d with outcome, %d unknown; quarantined requests: %d\n", r.Ledger.Live, r.Ledger.Outcomes, r.Ledger.Unknown, r.Quarantined)
	for _, p := range r.Problems {
		fmt.Fprintln(t, "not known:", p)
	}
	return t.Flush()
}
