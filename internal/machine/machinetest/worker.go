package machinetest

import (
	"errors"
	"io"

	"starlingwinch/internal/machine"
)

// Workers that a rig plays: in a command line, the word after WorkerWord says which.
const (
	WorkerWord = "machinetest-worker"
	EchoWorker = "echo" // sends back what comes, up to the end
	DeafWorker = "deaf" // does nothing, for ever
	EndWorker  = "end"  // says "bye" and ends
)

// PlayWorker plays one in a process or a goroutine of its own.
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
	case DeafWorker:
		for b := make([]byte, 1); ; {
			if _, err := conn.Read(b); err != nil { // where it runs inside a process, that is all of a Kill
				return
			}
		}
	}
}

// ByCommand is how a rig starts one by its command line.
func ByCommand(which string) machine.Worker { return machine.Worker{Args: []string{WorkerWord, which}} }

// VirtualWorker plays one as a handler.
func VirtualWorker(args []string, c machine.Conn) machine.Handler {
	switch args[1] {
	case EchoWorker:
		return &echo{c: c}
	case EndWorker:
		c.Write([]byte("bye"))
		return nil
	}
	return &deaf{}
}

// deaf is a worker that reads nothing.
type deaf struct{}

// Readable implements machine.Handler.
func (deaf) Readable() {}

// Writable implements machine.Handler.
func (deaf) Writable() {}

// echo sends back what comes, as soon as that is taken.
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
			defer b.turn()()
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
		b.Skip("no workers in this rig")
	}
	e, p := b.spawn(EchoWorker, func(e *end) { e.write("early") })
	b.wait("the echo", func() bool { return string(e.got) == "early" })
	b.call(func() { e.write(" and late") })
	b.wait("the second echo", func() bool { return string(e.got) == "early and late" })
	b.call(p.Kill)
}

// workerMegabyte has a megabyte go there and back through short writes.
func workerMegabyte(b *bench) {
	if b.Worker == nil {
		b.Skip("no workers in this rig")
	}
	const most = 1 << 20
	chunk := make([]byte, 50_021)
	for i := range chunk {
		chunk[i] = byte(i * 7 >> 3)
	}
	put := 0
	var e *end
	push := func() {
		for put < most {
			left := chunk[put%len(chunk):]
			n, err := e.conn.Write(left)
			if err != nil {
				b.Fatalf("Write: %v", err)
			}
			put += n
			if n < len(left) {
				return
			}
		}
	}
	e, p := b.spawn(EchoWorker, func(*end) {})
	e.writable = push
	b.wait("the worker", func() bool { return e.conn != nil })
	b.call(push)
	b.wait("all of it", func() bool { return put >= most && len(e.got) == put })
	for i, c := range e.got {
		if c != chunk[i%len(chunk)] {
			b.Fatalf("byte %d is not what was sent", i)
		}
	}
	b.call(p.Kill)
}

func workerEnds(b *bench) {
	if b.Worker == nil {
		b.Skip("no workers in this rig")
	}
	e, p := b.spawn(EndWorker, nil)
	b.wait("the end", func() bool { return e.err != nil })
	if string(e.got) != "bye" || e.err != io.EOF {
		b.Errorf("got %q, %v; want what the worker said, and its end", e.got, e.err)
	}
	b.call(p.Kill)
}

func workerKilled(b *bench) {
	if b.Worker == nil {
		b.Skip("no workers in this rig")
	}
	e, p := b.spawn(DeafWorker, nil)
	b.wait("the worker", func() bool { return e.conn != nil })
	told := e.readableCalls
	b.call(func() {
		p.Kill()
		p.Kill()
		if _, err := e.conn.Write([]byte("x")); !errors.Is(err, machine.ErrClosed) {
			b.Errorf("a Write after the Kill gave %v", err)
		}
	})
	b.settle()
	if e.readableCalls != told {
		b.Error("the handler was called after the Kill")
	}
}

func workerKilledEarly(b *bench) {
	if b.Worker == nil {
		b.Skip("no workers in this rig")
	}
	e, p := b.spawn(EchoWorker, nil)
	b.call(p.Kill)
	b.settle()
	if e.conn != nil || e.err != nil {
		b.Errorf("done was called after the Kill: %v, %v", e.conn, e.err)
	}
}

func workerUnwanted(b *bench) {
	if b.Worker == nil {
		b.Skip("no workers in this rig")
	}
	told := false
	b.call(func() {
		b.A.Spawn(b.Worker(DeafWorker), func(c machine.Conn, err error) machine.Handler {
			defer b.turn()()
			told = true
			return nil
		})
	})
	b.wait("the worker", func() bool { return told })
	b.settle()
}

// settle has another worker come up and end, by when all that was under way before has happened.
func (b *bench) settle() {
	e, p := b.spawn(EndWorker, nil)
	b.wait("another worker's end", func() bool { return e.err != nil })
	b.call(p.Kill)
}
