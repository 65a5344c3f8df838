package caller

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/node/inbound"
)

const (
	defaultMaxBody = 4 << 20
	maxAnswer      = 16 << 20
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
	// Bounds bound what callers may send and how long they may take; their defaults if zero.
	Bounds inbound.Bounds
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
	c.Bounds = c.Bounds.WithDefaults()
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

// Limits returns the limits of the heads and connections of h's listener, so that slow callers can't hold connections.
func (c Config) Limits() inbound.Limits {
	c = c.withDefaults()
	return inbound.Limits{HeaderBytes: c.Bounds.HeaderBytes, HeaderTimeout: c.HeaderTimeout, IdleTimeout: c.Bounds.IdleTimeout}
}
