// Command srctl changes and observes the settings of a sycamorerun fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sycamorerun/ctl/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	c := &commander.Commander{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Terminal: isTerminal(os.Stderr),
		Getenv:   os.Getenv,
		Now:      time.Now,
	}
	code := c.Execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// isTerminal reports whether the file is a character device, such as a terminal.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
