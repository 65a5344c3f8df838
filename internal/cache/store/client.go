package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/directory"
)

// maxAnswer is the maximum number of bytes read of a JSON answer.
const maxAnswer = 1 << 20

const tierHeader = "Hornbeamwood-Tier"

// Client sends requests to store VMs, which are identified by address.
type Client interface {
	// Head returns the sealed piece with the given key, and false if the store has none.
	Head(ctx context.Context, address string, k block.Key) (Piece, bool, error)
	// Delete deletes one generation of a piece. It returns nil if that generation no longer exists, also if it did not exist before.
	Delete(ctx context.Context, address string, k block.Key, generation uint64) error
	// List returns the page of pieces after a key; the zero key returns the first page.
	List(ctx context.Context, address string, after block.Key) (Page, error)
	// Usage returns the store's capacity and link state.
	Usage(ctx context.Context, address string) (Usage, error)
}

type client struct {
	http *http.Client
}

// New returns a Client that uses the given HTTP client, which must follow no redirects.
func New(c *http.Client) Client {
	return &client{http: c}
}

// Head implements Client.
func (c *client) Head(ctx context.Context, address string, k block.Key) (Piece, bool, error) {
	w, err := c.do(ctx, http.MethodHead, address, "/pieces/"+k.String(), "")
	if err != nil {
		return Piece{}, false, err
	}
	defer w.Body.Close()
	if w.StatusCode == http.StatusNotFound {
		return Piece{}, false, nil
	}
	if w.StatusCode != http.StatusOK {
		return Piece{}, false, unexpected(w)
	}
	p, err := headPiece(k, w)
	return p, err == nil, err
}

func headPiece(k block.Key, w *http.Response) (Piece, error) {
	generation, err := ParseTag(w.Header.Get("ETag"))
	if err != nil {
		return Piece{}, err
	}
	tier, ok := directory.ParseTier(w.Header.Get(tierHeader))
	if !ok || w.ContentLength <= 0 {
		return Piece{}, fmt.Errorf("store: piece %s has no tier or no length", k)
	}
	return Piece{Key: k, Generation: generation, Bytes: w.ContentLength, Tier: tier}, nil
}

// Delete implements Client.
//
// The If-Match condition prevents a late deletion from removing a piece that was
// rewritten under the same key.
func (c *client) Delete(ctx context.Context, address string, k block.Key, generation uint64) error {
	w, err := c.do(ctx, http.MethodDelete, address, "/pieces/"+k.String(), Tag(generation))
	if err != nil {
		return err
	}
	defer w.Body.Close()
	switch w.StatusCode {
	case http.StatusNoContent, http.StatusNotFound, http.StatusPreconditionFailed:
		return nil
	}
	return unexpected(w)
}

// List implements Client.
func (c *client) List(ctx context.Context, address string, after block.Key) (Page, error) {
	target := "/pieces?limit=" + strconv.Itoa(maxPage)
	if after != (block.Key{}) {
		target += "&after=" + after.String()
	}
	p, err := get[wirePage](ctx, c, address, target)
	if err != nil {
		return Page{}, err
	}
	return p.page()
}

// Usage implements Client.
func (c *client) Usage(ctx context.Context, address string) (Usage, error) {
	return get[Usage](ctx, c, address, "/usage")
}

func (c *client) do(ctx context.Context, method, address, target, match string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	w, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	return w, nil
}

func get[T any](ctx context.Context, c *client, address, target string) (T, error) {
	var v T
	w, err := c.do(ctx, http.MethodGet, address, target, "")
	if err != nil {
		return v, err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return v, unexpected(w)
	}
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return v, fmt.Errorf("store: %w", err)
	}
	if err := json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("store: decode answer: %w", err)
	}
	return v, nil
}

func unexpected(w *http.Response) error {
	return fmt.Errorf("store: unexpected status %s", w.Status)
}

// Tag returns the entity tag of a generation.
func Tag(generation uint64) string {
	return `"` + strconv.FormatUint(generation, 10) + `"`
}

// ParseTag returns the generation of an entity tag.
func ParseTag(tag string) (uint64, error) {
	digits, ok := strings.CutPrefix(tag, `"`)
	if ok {
		digits, ok = strings.CutSuffix(digits, `"`)
	}
	n, err := strconv.ParseUint(digits, 10, 63)
	if !ok || err != nil || n == 0 {
		return 0, fmt.Errorf("store: %q is not the tag of a generation", tag)
	}
	return n, nil
}
