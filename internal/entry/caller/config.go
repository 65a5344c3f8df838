package caller

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/apex/log"
)

const (
	defaultMaxBody = 4 << 20
	maxAnswer      = 16 << 20
	maxHeaderBytes = 64 << 10
	maxKeyBytes    = 512
	idBytes        = 12
)

// Config configures a Handler.
type Config struct {
	// Snapshots provides the settings.
	Snapshots Snapshots
	// Completer runs completions.
	Completer Completer
	// Services calls plain services.
	Services Services
	// Tokenizer tokenizes prompts; default NewByteTokenizer.
	Tokenizer Tokenizer
	// BodyTimeout bounds the time to read a body; default 30 s.
	BodyTimeout time.Duration
	// HeaderTimeout bounds the time to read headers; default 10 s.
	HeaderTimeout time.Duration
	// WriteTimeout bounds the time that a caller takes to accept one event or answer; default 2 min.
	WriteTimeout time.Duration
	// NewID returns a globally unique request ID; default 96 random bits.
	NewID func() string
	// Now returns the time; default time.Now.
	Now func() time.Time
	// Logger receives the events; nil disables logging.
	Logger log.Interface
}

func (c Config) withDefaults() Config {
	if c.Tokenizer == nil {
		c.Tokenizer = NewByteTokenizer()
	}
	if c.BodyTimeout <= 0 {
		c.BodyTimeout = 30 * time.Second
	}
	if c.HeaderTimeout <= 0 {
		c.HeaderTimeout = 10 * time.Second
	}
	if c.WriteTimeout <= 0 {
		c.WriteTimeout = 2 * time.Minute
	}
	if c.NewID == nil {
		c.NewID = newID
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

func newID() string {
	var b [idBytes]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Server returns an HTTP server for h that limits the size and time of headers, so that slow callers can't hold connections.
func (c Config) Server(h http.Handler) *http.Server {
	c = c.withDefaults()
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: c.HeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       2 * time.Minute,
	}
}
