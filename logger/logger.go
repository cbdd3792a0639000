// Package logger sets up key=value logs, one line an event.
package logger

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// New returns a logger that writes to w the events at or above the level
// named by least: "debug", "info", "warn" or "error".
func New(w io.Writer, least string, keyvals ...any) log.Logger {
	base := log.NewLogfmtLogger(log.NewSyncWriter(w))
	base = log.With(base, "ts", log.DefaultTimestampUTC)
	base = log.With(base, keyvals...)
	return level.NewFilter(base, level.Allow(level.ParseDefault(least, level.InfoValue())))
}
