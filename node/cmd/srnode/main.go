// Command srnode is the node process beside an upstream instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"sycamorerun/loader"
	"sycamorerun/node/runner"
)

func main() {
	var settings runner.Settings
	l := loader.New("srnode")
	settings.Register(l)
	proceed, code := l.Start(os.Args[1:], os.LookupEnv, loader.Streams{Out: os.Stdout, Err: os.Stderr})
	if !proceed {
		os.Exit(code)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		<-signals
		stop()
		<-signals
		fmt.Fprintln(os.Stderr, "second signal; ending at once")
		os.Exit(1)
	}()
	if err := runner.New(settings, os.Stderr).Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
