package machine

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// perWorker is how many descriptors a worker takes: the connection, and the one by which the runtime waits for
// the process to end.
const perWorker = 2

// program is this program's file, also where its name has come to stand for another one since the start.
const program = "/proc/self/exe"

// process is a worker. The loop has all of it but what mu guards.
type process struct {
	m    *Real
	conn handled                   // nil where none could be opened
	done func(Conn, error) Handler // nil once it was told, or is not to be
	over bool                      // Kill was called

	mu     sync.Mutex
	os     *os.Process
	killed bool
}

// Spawn implements Machine.
func (m *Real) Spawn(w Worker, done func(Conn, error) Handler) Process {
	p := &process{m: m, done: done}
	if w.Inside != nil {
		c := newInsideConn(m)
		p.conn = c
		m.workers[p] = true
		go w.Inside(insideEnd{c})
		m.Post(func() { p.up(nil) })
		return p
	}
	p.begin(w, m.Now()+startTime.Microseconds())
	return p
}

// begin starts the process, now or after a lack that passes until the given time.
func (p *process) begin(w Worker, until Time) {
	m := p.m
	far, err := p.connect()
	switch {
	case isLack(err) && m.Now() < until:
		m.at(m.Now()+lackPause, func() {
			if !p.over {
				p.begin(w, until)
			}
		})
		return
	case err != nil:
		m.Post(func() { p.up(failure("socketpair", err)) })
		return
	}
	m.conns++
	m.workers[p] = true
	go p.run(w, far)
	m.roused.Store(true)
}

// handled is a connection whose handler can be named.
type handled interface {
	Conn
	handle(Handler)
	open() bool
}

func (c *conn) open() bool       { return c.fd >= 0 }
func (c *insideConn) open() bool { return c.h != nil }

func (c *conn) handle(h Handler) {
	if c.open() {
		c.h = h
	}
}

func (c *insideConn) handle(h Handler) {
	if c.open() {
		c.h = h
	}
}

// connect opens the connection, and gives its other end, which blocks.
func (p *process) connect() (*os.File, error) {
	m := p.m
	if m.most > 0 && m.conns+perWorker > m.most {
		return nil, ErrDescriptors
	}
	var ends [2]int
	err := again(func() (err error) {
		ends, err = m.kernel.SocketPair()
		return err
	})
	if err != nil {
		return nil, err
	}
	syscall.SetNonblock(ends[0], true)
	c := &conn{m: m, fd: ends[0], h: nobody{}}
	if c.at, err = m.attach(c.fd, onEdges, c); err != nil {
		syscall.Close(ends[0])
		syscall.Close(ends[1])
		return nil, err
	}
	m.conns++
	p.conn = c
	return os.NewFile(uintptr(ends[1]), "worker"), nil
}

// nobody is the handler of a connection whose worker has not come up.
type nobody struct{}

func (nobody) Readable() {}
func (nobody) Writable() {}

// run is the life of the process. It is a goroutine with a thread of its own, for the kernel kills the worker when
// the thread that started it ends.
//
// The danger: a router that is killed would leave a worker behind that loops for ever.
func (p *process) run(w Worker, far *os.File) {
	runtime.LockOSThread()
	cmd := exec.Command(program)
	cmd.Args = append([]string{os.Args[0]}, w.Args...)
	cmd.Env = append([]string{}, w.Env...)
	cmd.Stdin = far
	// In a group of its own: an interrupt from the terminal is the router's to act on.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	err := cmd.Start()
	far.Close()
	if err != nil {
		p.m.Post(func() {
			p.gone()
			p.up(failure("start", err))
		})
		return
	}
	p.mu.Lock()
	p.os = cmd.Process
	if p.killed {
		p.os.Kill()
	}
	p.mu.Unlock()
	p.m.Post(func() { p.up(nil) })
	cmd.Wait()
	p.m.Post(p.gone)
}

// up tells how the start went.
func (p *process) up(err error) {
	done := p.done
	p.done = nil
	if done == nil {
		return
	}
	if err != nil {
		p.Kill()
		done(nil, err)
		return
	}
	c := p.conn
	h := done(c, nil)
	if h == nil {
		p.Kill()
		return
	}
	c.handle(h)
	p.m.Post(func() { p.early(h) })
}

// early tells of what came before there was a handler, in a turn of its own.
func (p *process) early(h Handler) {
	if !p.over && p.conn.open() {
		h.Readable()
	}
}

// gone is called once the process has ended and left no zombie.
func (p *process) gone() {
	p.m.conns--
	delete(p.m.workers, p)
}

// Kill implements Process.
func (p *process) Kill() {
	p.done = nil
	p.over = true
	p.end()
	if p.conn != nil {
		p.conn.Close()
	}
	if _, inside := p.conn.(*insideConn); inside {
		delete(p.m.workers, p)
	}
}

// end has the kernel end the process. It reaches no other that has its number by now: the runtime knows.
func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	if p.os != nil {
		p.os.Kill()
	}
}
