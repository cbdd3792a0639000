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
	commander := &commander.Commander{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr,
		Terminal: terminal(os.Stderr),
		Getenv:   os.Getenv,
		Now:      time.Now,
	}
	code := commander.Execute(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// terminal reports whether a person sees the file's output.
func terminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
