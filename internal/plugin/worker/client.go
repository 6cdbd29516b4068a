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

const (
	callGrace                 = 10 * time.Millisecond // beyond a call's budget, for the worker to interrupt it and reply
	loadAllowance plugin.Time = 5_000_000             // beyond LoadTime, for the process to start and the engine to compile
)

// Client calls the hook of a worker process, one call after the other, and blocks until each reply. It is for the commands
// that help to write hooks; a router never blocks on a worker.
type Client struct {
	cmd          *exec.Cmd
	conn         *os.File
	received     []byte        // frames that are not yet handled
	lastSequence uint64        // of the calls
	grace        time.Duration // beyond a call's budget, for the reply to come
}

// NewClient starts a worker process: the program's own, with the arguments that have it run Main.
func NewClient(args ...string) (*Client, error) {
	ends, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socketpair", err)
	}
	syscall.SetNonblock(ends[0], true) // for SetDeadline
	near, far := os.NewFile(uintptr(ends[0]), "worker"), os.NewFile(uintptr(ends[1]), "worker")
	defer far.Close()
	cmd := exec.Command("/proc/self/exe", args...)
	cmd.Env = []string{"GOMAXPROCS=2", "GOTRACEBACK=none"}
	cmd.Stdin = far
	if err := cmd.Start(); err != nil {
		near.Close()
		return nil, err
	}
	return &Client{cmd: cmd, conn: near, grace: callGrace}, nil
}

// Pid returns the number of the worker's process.
func (c *Client) Pid() int { return c.cmd.Process.Pid }

// Load loads a hook. The error is a *plugin.Failure, unless the worker itself or its connection failed.
func (c *Client) Load(l wire.Load) (plugin.Points, error) {
	kind, body, err := c.exchange(wire.AppendLoad(nil, &l), l.Budget.LoadTime+loadAllowance)
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

// Call calls the hook, with a budget of time. The error is a *plugin.Failure, unless the connection failed.
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

// exchange sends a frame and waits for one, for the budget and the client's grace.
func (c *Client) exchange(frame []byte, budget plugin.Time) (byte, []byte, error) {
	c.conn.SetDeadline(time.Now().Add(time.Duration(budget)*time.Microsecond + c.grace))
	if _, err := c.conn.Write(frame); err != nil {
		return 0, nil, connectionFailure(err)
	}
	buffer := make([]byte, minReadSpace)
	for {
		kind, body, rest, err := wire.Next(c.received, wire.MaxFrameToRouter)
		if err != nil {
			return 0, nil, err
		}
		if kind != 0 {
			c.received = rest
			return kind, body, nil
		}
		n, err := c.conn.Read(buffer)
		c.received = append(c.received, buffer[:n]...)
		if n == 0 && err != nil {
			return 0, nil, connectionFailure(err)
		}
	}
}

// connectionFailure returns the reason why there is no reply.
func connectionFailure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &plugin.Failure{Kind: plugin.BudgetExceeded, Text: "it could not be interrupted: a router ends its worker"}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return &plugin.Failure{Kind: plugin.MemoryExceeded, Text: "its worker ended: out of memory, or a crash of its engine"}
	}
	return fmt.Errorf("worker: %w", err)
}

// Close kills the worker.
func (c *Client) Close() {
	c.conn.Close()
	c.cmd.Process.Kill()
	c.cmd.Wait()
}
