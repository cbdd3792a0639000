// Package logger sets up key=value logs, one line an event.
package logger

import (
	"io"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes to w the events at or above the level
// named by least: "debug", "info", "warn" or "error".
func New(w io.Writer, least string, keyvals ...any) log.Logger {
	return NewLeveled(w, least, keyvals...)
}

// Leveled is a logger whose level can change.
type Leveled struct {
	base   log.Logger
	filter atomic.Pointer[log.Logger]
}

// NewLeveled returns a logger as New does.
func NewLeveled(w io.Writer, least string, keyvals ...any) *Leveled {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	base = log.With(base, "ts", log.DefaultTimestampUTC)
	l := &Leveled{base: log.With(base, keyvals...)}
	l.SetLevel(least)
	return l
}

// SetLevel changes the least level that is written.
func (l *Leveled) SetLevel(least string) {
	filter := level.NewFilter(l.base, level.Allow(level.ParseDefault(least, level.InfoValue())))
	l.filter.Store(&filter)
}

// Log implements log.Logger.
func (l *Leveled) Log(keyvals ...any) error { return (*l.filter.Load()).Log(keyvals...) }
