// Package logger provides logfmt loggers that write one line per event.
package logger

import (
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes the events at or above minLevel to w. The
// levels are "debug", "info", "warn" and "error".
func New(w io.Writer, minLevel string, keyvals ...any) log.Logger {
	return NewLeveled(w, minLevel, keyvals...)
}

// Leveled is a logger whose level can be changed at run time.
type Leveled struct {
	base   log.Logger
	filter atomic.Pointer[log.Logger]
}

// NewLeveled is like New but returns a logger whose level can be changed.
func NewLeveled(w io.Writer, minLevel string, keyvals ...any) *Leveled {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	base = log.With(base, "ts", log.DefaultTimestampUTC)
	l := &Leveled{base: log.With(base, keyvals...)}
	l.SetLevel(minLevel)
	return l
}

// SetLevel sets the minimum level of the events that are written.
func (l *Leveled) SetLevel(minLevel string) {
	filter := level.NewFilter(l.base, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	l.filter.Store(&filter)
}

// Log implements log.Logger.
func (l *Leveled) Log(keyvals ...any) error { return (*l.filter.Load()).Log(keyvals...) }
