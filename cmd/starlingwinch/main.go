// Command starlingwinch routes clients' requests to a fleet of cache servers.
// BALANCER_CONFIG names the file with its configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"starlingwinch/internal/router"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "starlingwinch:", err)
		os.Exit(1)
	}
}

func run() error {
	// From the first moment on: a SIGHUP that nobody takes would end the program.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg.Limits.Apply()
	srv, err := router.New(cfg)
	if err != nil {
		return err
	}
	go func() {
		for range hup {
			next, err := load()
			if err != nil {
				srv.Log("SIGHUP: the old configuration stays: " + err.Error())
				continue
			}
			srv.Reload(next)
		}
	}()
	return srv.Run(ctx)
}

// load reads the configuration.
func load() (*router.Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, fmt.Errorf("BALANCER_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	cfg, err := router.ParseConfig(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return cfg, nil
}
