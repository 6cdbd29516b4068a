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
	callGrace                 = 10 * time.Millisecond // time beyond a call's budget for the worker to interrupt the call and reply
	loadAllowance plugin.Time = 5_000_000             // time beyond LoadTime for the process to start and the engine to compile
)

// Client is a blocking client of a worker process. It makes one call at a time and waits for the reply. Commands for authors
// of hooks use it; a router never blocks on a worker.
type Client struct {
	cmd          *exec.Cmd
	conn         *os.File
	received     []byte        // bytes of frames that are not yet handled
	lastSequence uint64        // the sequence number of the last call
	grace        time.Duration // time beyond a call's budget for the reply to arrive
}

// NewClient starts a worker process. The process runs the current executable with args, which must make it call Main.
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

// Pid returns the process ID of the worker.
func (c *Client) Pid() int { return c.cmd.Process.Pid }

// Load loads a hook and returns its points. The error is a *plugin.Failure unless the worker's protocol or connection failed.
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

// Call calls the hook with the given time budget. The error is a *plugin.Failure unless the protocol or connection failed.
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

// exchange sends a frame and waits for a reply frame, for no longer than the budget and the client's grace.
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

// connectionFailure converts an error of the connection to the failure that explains the missing reply.
func connectionFailure(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &plugin.Failure{Kind: plugin.BudgetExceeded, Text: "it could not be interrupted: a router kills its worker"}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		return &plugin.Failure{Kind: plugin.MemoryExceeded, Text: "its worker ended: out of memory, or a crash of its engine"}
	}
	return fmt.Errorf("worker: %w", err)
}

// Close closes the connection, kills the worker and waits for its process to end.
func (c *Client) Close() {
	c.conn.Close()
	c.cmd.Process.Kill()
	c.cmd.Wait()
}
