package logline

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

const (
	// queueLength is the maximum number of queued lines, about one second of a busy process.
	queueLength = 1024
	// linesPerSecond limits the lines below the level warn. A line takes about 5 us
	// of CPU time, so that logging uses less than 1% of a core.
	linesPerSecond = 1500
	// burst is the maximum number of lines in a burst, for example when a large document is applied or many servers change.
	burst = 1500
	// reportInterval is the interval of reports of dropped lines.
	reportInterval = time.Second
)

// Config configures a Handler.
type Config struct {
	// Writer receives the lines; it may block.
	Writer io.Writer
	// Fields are added to each line.
	Fields log.Fields
	// Dropped is called with the number of lines that were dropped since the last call.
	Dropped func(count uint64)
}

// Handler queues log lines and writes them in the background.
type Handler interface {
	log.Handler
	// Close writes the queued lines and waits at most timeout.
	Close(timeout time.Duration)
}

type handler struct {
	config  Config
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Uint64
	closing chan struct{}
	done    chan struct{}
}

// line is a log line; the order of its fields is the order in the output.
type line struct {
	Time    string     `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields"`
}

// New returns a Handler.
//
// If the reader of the output stops reading, the pipe fills and writes block. A
// process that waited for them would stop answering its callers, so lines are
// dropped and counted instead.
func New(c Config) Handler {
	h := &handler{
		config:  c,
		lines:   make(chan []byte, queueLength),
		limit:   rate.NewLimiter(linesPerSecond, burst),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go func() {
		defer close(h.done)
		h.run()
	}()
	return h
}

// HandleLog implements log.Handler.
func (h *handler) HandleLog(e *log.Entry) error {
	if e.Level < log.WarnLevel && !h.limit.Allow() {
		h.dropped.Add(1)
		return nil
	}
	for k, v := range h.config.Fields {
		e.Fields[k] = v
	}
	b, err := json.Marshal(line{Time: e.Timestamp.UTC().Format("2006-01-02T15:04:05.000Z"), Level: e.Level.String(), Message: e.Message, Fields: e.Fields})
	if err != nil {
		h.dropped.Add(1)
		return err
	}
	select {
	case h.lines <- append(b, '\n'):
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Close implements Handler.
func (h *handler) Close(timeout time.Duration) {
	close(h.closing)
	select {
	case <-h.done:
	case <-time.After(timeout):
	}
}

func (h *handler) run() {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case b := <-h.lines:
			h.write(b)
		case <-t.C:
			h.report()
		case <-h.closing:
			h.drain()
			return
		}
	}
}

// write writes b and the lines queued after it in one call, up to maxBatch.
func (h *handler) write(b []byte) {
	const maxBatch = 64 << 10
	for len(b) < maxBatch {
		select {
		case more := <-h.lines:
			b = append(b, more...)
			continue
		default:
		}
		break
	}
	// An error is ignored: there is no other output to report it to.
	_, _ = h.config.Writer.Write(b)
}

func (h *handler) drain() {
	for {
		select {
		case b := <-h.lines:
			h.write(b)
		default:
			return
		}
	}
}

func (h *handler) report() {
	if n := h.dropped.Swap(0); n > 0 && h.config.Dropped != nil {
		h.config.Dropped(n)
	}
}
