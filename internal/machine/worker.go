package machine

import (
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// descriptorsPerWorker counts the connection and the descriptor with which the Go runtime waits for the process to end.
const descriptorsPerWorker = 2

// ownExecutable refers to this program's file even if the file at its path was replaced after the start.
const ownExecutable = "/proc/self/exe"

// process is a worker. Only the loop uses the fields that mu does not guard.
type process struct {
	m          *Real
	conn       handledConn               // nil if the connection could not be opened
	done       func(Conn, error) Handler // nil after the call and after Kill
	killCalled bool                      // Kill was called

	mu     sync.Mutex
	os     *os.Process
	killed bool
}

// Spawn implements Machine.
func (m *Real) Spawn(w Worker, done func(Conn, error) Handler) Process {
	p := &process{m: m, done: done}
	if w.RunInProcess != nil {
		c := newInsideConn(m)
		p.conn = c
		m.workers[p] = true
		go w.RunInProcess(insideEnd{c})
		m.Post(func() { p.started(nil) })
		return p
	}
	p.spawn(w, m.Now()+maxStartRetry.Microseconds())
	return p
}

// spawn starts the process. It retries during a shortage, up to the time until.
func (p *process) spawn(w Worker, until Time) {
	m := p.m
	workerEnd, err := p.connect()
	switch {
	case isShortage(err) && m.Now() < until:
		m.at(m.Now()+shortageRetryDelay, func() {
			if !p.killCalled {
				p.spawn(w, until)
			}
		})
		return
	case err != nil:
		m.Post(func() { p.started(contractError("socketpair", err)) })
		return
	}
	m.conns++
	m.workers[p] = true
	go p.run(w, workerEnd)
	m.wokeGoroutine.Store(true)
}

// handledConn is a connection whose handler can be set.
type handledConn interface {
	Conn
	setHandler(Handler)
	isOpen() bool
}

func (c *conn) isOpen() bool       { return c.fd >= 0 }
func (c *insideConn) isOpen() bool { return c.handler != nil }

func (c *conn) setHandler(h Handler) {
	if c.isOpen() {
		c.handler = h
	}
}

func (c *insideConn) setHandler(h Handler) {
	if c.isOpen() {
		c.handler = h
	}
}

// connect opens the connection and returns the worker's end, a blocking stream.
func (p *process) connect() (*os.File, error) {
	m := p.m
	if m.maxConns > 0 && m.conns+descriptorsPerWorker > m.maxConns {
		return nil, ErrDescriptors
	}
	var ends [2]int
	err := retryInterrupted(func() (err error) {
		ends, err = m.kernel.SocketPair()
		return err
	})
	if err != nil {
		return nil, err
	}
	syscall.SetNonblock(ends[0], true)
	c := &conn{m: m, fd: ends[0], handler: noHandler{}}
	if c.slot, err = m.attach(c.fd, connEvents, c); err != nil {
		syscall.Close(ends[0])
		syscall.Close(ends[1])
		return nil, err
	}
	m.conns++
	p.conn = c
	return os.NewFile(uintptr(ends[1]), "worker"), nil
}

// noHandler is the handler of a connection whose worker has not started yet.
type noHandler struct{}

// Readable implements Handler.
func (noHandler) Readable() {}

// Writable implements Handler.
func (noHandler) Writable() {}

// run starts the process and waits for its end in a goroutine locked to its thread. The kernel kills the worker when that
// thread ends (PR_SET_PDEATHSIG), so that no worker outlives a router that is killed.
func (p *process) run(w Worker, workerEnd *os.File) {
	runtime.LockOSThread()
	cmd := exec.Command(ownExecutable)
	cmd.Args = append([]string{os.Args[0]}, w.Args...)
	cmd.Env = append([]string{}, w.Env...)
	cmd.Stdin = workerEnd
	// The worker has its own process group, so that an interrupt from the terminal reaches only the router.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	err := cmd.Start()
	workerEnd.Close()
	if err != nil {
		p.m.Post(func() {
			p.exited()
			p.started(contractError("start", err))
		})
		return
	}
	p.mu.Lock()
	p.os = cmd.Process
	if p.killed {
		p.os.Kill()
	}
	p.mu.Unlock()
	p.m.Post(func() { p.started(nil) })
	cmd.Wait()
	p.m.Post(p.exited)
}

// started reports the outcome of the start to the caller of Spawn.
func (p *process) started(err error) {
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
	c.setHandler(h)
	p.m.Post(func() { p.notifyEarlyData(h) })
}

// notifyEarlyData notifies the handler of data that arrived before the handler was set.
func (p *process) notifyEarlyData(h Handler) {
	if !p.killCalled && p.conn.isOpen() {
		h.Readable()
	}
}

// exited runs in the loop after the process was waited for.
func (p *process) exited() {
	p.m.conns--
	delete(p.m.workers, p)
}

// Kill implements Process.
func (p *process) Kill() {
	p.done = nil
	p.killCalled = true
	p.end()
	if p.conn != nil {
		p.conn.Close()
	}
	if _, inside := p.conn.(*insideConn); inside {
		delete(p.m.workers, p)
	}
}

// end kills the process. os.Process ensures that the signal never reaches another process with a reused process id.
func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
	if p.os != nil {
		p.os.Kill()
	}
}
