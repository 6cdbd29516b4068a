package machinetest

import (
	"errors"
	"io"

	"starlingwinch/internal/machine"
)

// Workers that a rig must provide. On a command line, the argument after WorkerWord names the worker.
const (
	WorkerWord = "machinetest-worker"
	EchoWorker = "echo" // sends back all bytes that it receives, up to the end
	IdleWorker = "idle" // sends nothing and never ends by itself
	EndWorker  = "end"  // sends "bye" and ends
)

// PlayWorker runs a worker in its own process or goroutine.
func PlayWorker(which string, conn io.ReadWriter) {
	switch which {
	case EchoWorker:
		b := make([]byte, 4096)
		for {
			n, err := conn.Read(b)
			if n > 0 {
				conn.Write(b[:n])
			}
			if err != nil {
				return
			}
		}
	case EndWorker:
		conn.Write([]byte("bye"))
	case IdleWorker:
		for b := make([]byte, 1); ; {
			if _, err := conn.Read(b); err != nil { // for a worker in a goroutine, Kill only closes the connection
				return
			}
		}
	}
}

// ByCommand returns a worker that is started by its command line.
func ByCommand(which string) machine.Worker { return machine.Worker{Args: []string{WorkerWord, which}} }

// VirtualWorker returns a worker for a virtual machine, as a handler of its connection.
func VirtualWorker(args []string, c machine.Conn) machine.Handler {
	switch args[1] {
	case EchoWorker:
		return &echo{c: c}
	case EndWorker:
		c.Write([]byte("bye"))
		return nil
	}
	return &idle{}
}

// idle is a worker that reads and sends nothing.
type idle struct{}

// Readable implements machine.Handler.
func (idle) Readable() {}

// Writable implements machine.Handler.
func (idle) Writable() {}

// echo is a worker that sends back all bytes that it receives, as fast as the connection accepts them.
type echo struct {
	c    machine.Conn
	left []byte
}

// Writable implements machine.Handler.
func (e *echo) Writable() { e.Readable() }

// Readable implements machine.Handler.
func (e *echo) Readable() {
	for {
		n, err := e.c.Write(e.left)
		e.left = e.left[n:]
		if err != nil || len(e.left) > 0 {
			return
		}
		b := make([]byte, 4096)
		n, err = e.c.Read(b)
		e.left = b[:n]
		if err == machine.ErrWait {
			return
		}
		if err != nil {
			e.c.Close()
			return
		}
	}
}

// spawn starts a worker at A.
func (b *bench) spawn(which string, then func(*end)) (*end, machine.Process) {
	e := &end{b: b, reads: true}
	var p machine.Process
	b.call(func() {
		p = b.A.Spawn(b.Worker(which), func(c machine.Conn, err error) machine.Handler {
			defer b.enterCallback()()
			e.conn, e.err = c, err
			if err != nil {
				return nil
			}
			if then != nil {
				then(e)
			}
			return e
		})
	})
	return e, p
}

func workerEchoes(b *bench) {
	if b.Worker == nil {
		b.Skip("the rig has no workers")
	}
	e, p := b.spawn(EchoWorker, func(e *end) { e.write("early") })
	b.wait("the echo", func() bool { return string(e.got) == "early" })
	b.call(func() { e.write(" and late") })
	b.wait("the second echo", func() bool { return string(e.got) == "early and late" })
	b.call(p.Kill)
}

// workerLargeTransfer sends a megabyte to a worker and back, with short writes.
func workerLargeTransfer(b *bench) {
	if b.Worker == nil {
		b.Skip("the rig has no workers")
	}
	const least = 1 << 20
	chunk := make([]byte, 50_021)
	for i := range chunk {
		chunk[i] = byte(i * 7 >> 3)
	}
	written := 0
	var e *end
	writeMore := func() {
		for written < least {
			left := chunk[written%len(chunk):]
			n, err := e.conn.Write(left)
			if err != nil {
				b.Fatalf("Write: %v", err)
			}
			written += n
			if n < len(left) {
				return
			}
		}
	}
	e, p := b.spawn(EchoWorker, func(*end) {})
	e.writable = writeMore
	b.wait("the worker", func() bool { return e.conn != nil })
	b.call(writeMore)
	b.wait("all bytes", func() bool { return written >= least && len(e.got) == written })
	for i, c := range e.got {
		if c != chunk[i%len(chunk)] {
			b.Fatalf("byte %d differs from the one sent", i)
		}
	}
	b.call(p.Kill)
}

func workerEnds(b *bench) {
	if b.Worker == nil {
		b.Skip("the rig has no workers")
	}
	e, p := b.spawn(EndWorker, nil)
	b.wait("the end", func() bool { return e.err != nil })
	if string(e.got) != "bye" || e.err != io.EOF {
		b.Errorf("received %q and error %v, want %q and EOF", e.got, e.err, "bye")
	}
	b.call(p.Kill)
}

func workerKilled(b *bench) {
	if b.Worker == nil {
		b.Skip("the rig has no workers")
	}
	e, p := b.spawn(IdleWorker, nil)
	b.wait("the worker", func() bool { return e.conn != nil })
	callsBefore := e.readableCalls
	b.call(func() {
		p.Kill()
		p.Kill()
		if _, err := e.conn.Write([]byte("x")); !errors.Is(err, machine.ErrClosed) {
			b.Errorf("Write after Kill: got error %v, want ErrClosed", err)
		}
	})
	b.waitForPendingEvents()
	if e.readableCalls != callsBefore {
		b.Error("the handler was called after Kill")
	}
}

func workerKilledEarly(b *bench) {
	if b.Worker == nil {
		b.Skip("the rig has no workers")
	}
	e, p := b.spawn(EchoWorker, nil)
	b.call(p.Kill)
	b.waitForPendingEvents()
	if e.conn != nil || e.err != nil {
		b.Errorf("done was called after Kill, with connection %v and error %v", e.conn, e.err)
	}
}

func workerWithoutHandler(b *bench) {
	if b.Worker == nil {
		b.Skip("the rig has no workers")
	}
	done := false
	b.call(func() {
		b.A.Spawn(b.Worker(IdleWorker), func(c machine.Conn, err error) machine.Handler {
			defer b.enterCallback()()
			done = true
			return nil
		})
	})
	b.wait("the worker", func() bool { return done })
	b.waitForPendingEvents()
}

// waitForPendingEvents starts another worker and waits for its end, after which all events pending before have been handled.
func (b *bench) waitForPendingEvents() {
	e, p := b.spawn(EndWorker, nil)
	b.wait("another worker's end", func() bool { return e.err != nil })
	b.call(p.Kill)
}
