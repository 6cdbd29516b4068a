package worker

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"starlingwinch/internal/plugin"
	"starlingwinch/internal/plugin/wire"
)

// Client asks a worker process one call after the other, and waits. It is for the tools of authors; a router never waits
// for a worker.
type Client struct {
	cmd          *exec.Cmd
	conn         *os.File
	received     []byte
	lastSequence uint64
	grace        time.Duration // beyond a call's budget
}

// NewClient starts a worker process: the program's own, with the arguments that have it run Main.
func NewClient(args ...string) (*Client, error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socketpair", err)
	}
	syscall.SetNonblock(ends[0], true) // so that there are deadlines
	near, far := os.NewFile(uintptr(ends[0]), "worker"), os.NewFile(uintptr(ends[1]), "worker")
	defer far.Close()
	cmd := exec.Command("/proc/self/exe", args...)
	cmd.Env = []string{"GOMAXPROCS=2", "GOTRACEBACK=none"}
	cmd.Stdin = far
	if err := cmd.Start(); err != nil {
		near.Close()
		return nil, err
	}
	return &Client{cmd: cmd, conn: near, grace: 10 * time.Millisecond}, nil
}

// Pid is the worker's process.
func (c *Client) Pid() int { return c.cmd.Process.Pid }

// Load loads a hook. The error is a *plugin.Failure, but for what is wrong with the worker.
func (c *Client) Load(l wire.Load) (plugin.Points, error) {
	kind, body, err := c.exchange(wire.AppendLoad(nil, &l), l.Budget.LoadTime+5_000_000)
	if err != nil {
		return 0, err
	}
	switch kind {
	case wire.KindLoaded:
		return wire.ParseLoaded(body)
	case wire.KindLoadFailed:
		f, err := wire.ParseLoadFailed(body)
		if err != nil {
			return 0, err
		}
		return 0, f
	}
	return 0, wire.ErrMalformedFrame
}

// Call asks it, with that budget of time.
func (c *Client) Call(call *plugin.Call, budget plugin.Time) (wire.Reply, error) {
	c.lastSequence++
	kind, body, err := c.exchange(wire.AppendCall(nil, c.lastSequence, call), budget)
	if err != nil {
		return wire.Reply{}, err
	}
	var r wire.Reply
	if kind != wire.KindReply {
		return r, wire.ErrMalformedFrame
	}
	if err := wire.ParseReply(body, &r); err != nil {
		return r, err
	}
	if r.Failed {
		return r, &plugin.Failure{Kind: r.Kind, Text: r.Text}
	}
	return r, nil
}

// exchange sends a frame and waits for one.
func (c *Client) exchange(frame []byte, budget plugin.Time) (byte, []byte, error) {
	c.conn.SetDeadline(time.Now().Add(time.Duration(budget)*time.Microsecond + c.grace))
	if _, err := c.conn.Write(frame); err != nil {
		return 0, nil, connectionFailure(err)
	}
	b := make([]byte, 4096)
	for {
		kind, body, rest, err := wire.Next(c.received, wire.MaxFrameToRouter)
		if err != nil {
			return 0, nil, err
		}
		if kind != 0 {
			c.received = rest
			return kind, body, nil
		}
		n, err := c.conn.Read(b)
		c.received = append(c.received, b[:n]...)
		if n == 0 && err != nil {
			return 0, nil, connectionFailure(err)
		}
	}
}

// connectionFailure words why there is no answer.
func connectionFailure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &plugin.Failure{Kind: plugin.BudgetExceeded, Text: "it could not be interrupted: a router ends its worker"}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return &plugin.Failure{Kind: plugin.MemoryExceeded, Text: "its worker ended: out of memory, or a crash of its engine"}
	}
	return fmt.Errorf("worker: %w", err)
}

// Close ends the worker.
func (c *Client) Close() {
	c.conn.Close()
	c.cmd.Process.Kill()
	c.cmd.Wait()
}
