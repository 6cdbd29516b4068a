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
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return fmt.Errorf("BALANCER_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	cfg, err := router.ParseConfig(raw)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	cfg.Limits.Apply()
	srv, err := router.New(cfg)
	if err != nil {
		return err
	}
	return srv.Run(ctx)
}
