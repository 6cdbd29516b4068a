// Package machine is all that the router takes from the machine it runs on: its clock and timers,
// its connections and datagrams, its files, its entropy, its signals and its log. The router and
// the stand-ins are written against this page alone; New gives the real machine, package sim a
// virtual one on which equal seeds give equal runs.
//
// A machine calls its users; they never wait. All calls, in both directions, are made in one
// goroutine, the machine's loop; the exceptions are Post and Log, which any goroutine may call, and the work
// of Work and OnDisk. Nothing that a call here does makes the machine call back before that call has
// returned, so a user is never entered twice. Users start no goroutine and block on nothing.
//
// Order is the machine's: what happens at one instant is told in the order in which it came
// about, and timers that are due at one instant fire in the order in which they were set.
//
// Errors may come wrapped, with the address or the kernel's words: compare them by errors.Is. ErrWait,
// ErrClosed and io.EOF come bare.
package machine

import (
	"errors"
	"io"
)

// Time is an instant or a span in microseconds; instants are Unix time as the machine had it at
// its start, counted on from there without the steps that its clock may make.
type Time = int64

// ErrWait says that nothing can be read or written at once: the handler will be told when.
var ErrWait = errors.New("machine: not at once")

// ErrTimeout says that a connection did not come up in time.
var ErrTimeout = errors.New("machine: the connection did not come up in time")

// ErrDescriptors says that the process holds as many descriptors as it may.
var ErrDescriptors = errors.New("machine: no descriptor is left")

// ErrShortage says that this machine had no memory, port or route for a connection until its timeout.
var ErrShortage = errors.New("machine: nothing left to open a connection with")

// ErrAddressInUse says that somebody else holds an address to listen at: often the process before, which ends soon.
var ErrAddressInUse = errors.New("machine: address already in use")

// ErrAddressMissing says that an address to listen at is none of this machine's at the moment: its interface may be coming up.
var ErrAddressMissing = errors.New("machine: not an address of this machine")

// ErrNoWorker says that this machine starts no workers.
var ErrNoWorker = errors.New("machine: no workers here")

// ErrRefused says that nobody listens at the address.
var ErrRefused = errors.New("machine: connection refused")

// ErrReset says that the other side has broken the connection off.
var ErrReset = errors.New("machine: connection reset")

// ErrClosed says that this side has closed the connection.
var ErrClosed = errors.New("machine: connection closed by this side")

// ErrLocked says that somebody else holds a lock.
var ErrLocked = errors.New("machine: locked by another process")

// ErrTooLong says that a file is longer than the reader takes.
var ErrTooLong = errors.New("machine: longer than the bound")

// ErrIrregular says that what stands under a name is not a regular file: a folder, a link, a device.
var ErrIrregular = errors.New("machine: not a regular file")

// Signal is what an operator's tools tell a process.
type Signal uint8

const (
	Terminate Signal = iota // SIGTERM or an interrupt: drain and end
	HangUp                  // SIGHUP: read the configuration again
)

// Machine is one machine as a process sees it.
type Machine interface {
	// Now is the time on a clock that never steps. It stands still while a call of the machine lasts.
	Now() Time
	// Wall is Unix time as the machine's clock has it at the moment: it may be wrong, and step.
	Wall() Time
	// Late is how much later it is than Now says: how long the call that goes on has taken, or the process has stood still in it.
	Late() Time
	// Resumed has f called where the loop goes on after at least a span in which it called nobody, before it calls anybody
	// else: there was nothing to do, or the process stood still. Much may wait to be read then, in any order.
	Resumed(after Time, f func())
	// Entropy is a number that nobody can guess; on a virtual machine the seed decides it.
	Entropy() uint64

	// At has f called at t, or up to a millisecond later; where t has passed, in a later turn of the loop.
	At(t Time, f func()) Timer
	// Post has f called in a later turn of the loop. Any goroutine may call it.
	Post(f func())
	// Work has f run beside the loop, for what takes long, and then done in a turn of the loop. f must
	// touch nothing that the loop uses meanwhile.
	Work(f, done func())

	// Listen has accept called with each connection that comes in at the address, which is an IP
	// address and a port (0 for any free one). accept names the connection's handler; one that gets
	// none (nil) is closed. ErrAddressInUse, ErrAddressMissing and ErrShortage may pass by themselves; other errors last.
	Listen(addr string, accept func(Conn) Handler) (Listener, error)
	// Dial opens a connection. done is called once: with a connection that is up, whose handler it
	// names (nil closes it), or with the reason why none came up within the timeout. Until then the
	// Dialing can be given up.
	Dial(addr string, timeout Time, done func(Conn, error) Handler) Dialing
	// ListenPacket has got called with each datagram that comes to the address. got must not keep b. Its errors are Listen's.
	ListenPacket(addr string, got func(from string, b []byte)) (PacketConn, error)

	// Spawn starts a worker: a process of this program's own, beside the loop, to which there is one
	// connection and nothing else. done is called once: with the connection, whose handler it names (nil kills
	// the worker), or with the reason why none came up. That the worker has ended, for whatever cause, is told
	// as the end of the connection. Until Kill, it holds two descriptors.
	Spawn(w Worker, done func(Conn, error) Handler) Process

	// OnDisk has f work on files beside the loop, and then done called in a turn of the loop. Such works are done one
	// after another, in the order in which they came, and take as long as the disk does, which may be for ever: who
	// gives one waits for its end before giving the next, with a bound of its own. f must touch nothing that the loop
	// uses meanwhile, and keep the Disk no longer than its own run. Where the process ends, f ends anywhere.
	OnDisk(f func(Disk), done func())
	// ReadFile is a regular file's content; one that is longer than most bytes is an error. It takes as
	// long as the disk does.
	ReadFile(name string, most int64) ([]byte, error)
	// Signals has f called at each signal. Until then they are kept.
	Signals(f func(Signal))
	// Log adds a line to the process's log. It never waits: where nobody reads the log, lines are
	// dropped. Any goroutine may call it.
	Log(line string)
}

// Timer is a call that is to come.
type Timer interface {
	// Stop takes it back. It holds nothing from then on; after the call it does nothing.
	Stop()
}

// Handler is told of a connection. No call comes after the connection's Close.
type Handler interface {
	// Readable says that something has come since the last call: bytes, the end, or an error. It need
	// not be said again for what was left unread: read up to ErrWait, or come back by yourself. It
	// may be said in vain.
	Readable()
	// Writable says that a Write that took less than it was given can go on. It may be said in vain.
	Writable()
}

// Conn is a stream connection that is up: over TCP, or to a worker.
type Conn interface {
	// Read takes what has come, without waiting: ErrWait where that is nothing, io.EOF at the end,
	// ErrReset where the connection broke.
	Read(b []byte) (int, error)
	// Write sends as much of b as the machine takes at once; n < len(b) with a nil error says that
	// it takes no more for now. An error says that nothing more can be sent, ever; what had come before
	// may still be there to be read.
	Write(b []byte) (n int, err error)
	// Quiet reports whether the connection is open and nothing waits in it to be read: neither
	// bytes nor the end. It takes nothing out.
	Quiet() bool
	// End is nil while the other side may send more, io.EOF once it has ended its sending, and ErrReset once the
	// connection broke, as far as the machine has told its handler: also where bytes that came before are still unread.
	// It takes nothing out.
	End() error
	// CloseWrite ends this side's sending; the other side reads what was sent and then the end.
	CloseWrite() error
	// Close ends the connection and gives its descriptor back. Where bytes that have come were not read, the
	// other side may see a reset instead of the end. A second call does nothing.
	Close()
	// Local and Remote are the two addresses. To a worker there are none.
	Local() string
	Remote() string
}

// Listener takes connections in at an address.
type Listener interface {
	Addr() string
	// Pause stops taking connections in, which wait in the machine's queue (or are refused where that
	// is full), until Resume.
	Pause()
	Resume()
	// Finish takes in what waits in the queue, also where that takes until Resume or until there are descriptors, then
	// ends it and calls done, in a later turn of the loop. What comes meanwhile is taken in too, up to as much as a queue
	// holds. Where Close comes first, done is not called.
	Finish(done func())
	// Close ends it. Connections that wait in the queue are reset; those taken in stay.
	Close()
}

// Dialing is a connection that is coming up.
type Dialing interface {
	// Cancel gives it up: done is not called any more and the descriptor is given back.
	Cancel()
	// Blocked reports whether it has not begun yet, for a shortage of this machine: nothing has been sent yet.
	Blocked() bool
}

// Worker says what a worker is to be.
type Worker struct {
	// Args is its command line, without the program's name. It finds its end of the connection, a stream that
	// blocks, as its standard input; what it prints is lost.
	Args []string
	// Env is all of its environment.
	Env []string
	// Inside, where it is set, is run in a goroutine of this process instead, with the other end of the connection,
	// which it closes. A Kill only closes the connection: what does not come back from a loop is there for ever.
	Inside func(io.ReadWriteCloser)
}

// Process is a worker.
type Process interface {
	// Kill ends it at once, whatever it does, and closes its connection; where it has not come up yet, done is
	// not called any more. It is for workers that have ended too: it gives the descriptors back, soon. A
	// second call does nothing.
	Kill()
}

// PacketConn sends datagrams, and takes them in. They get lost, late, twice or out of order.
type PacketConn interface {
	Addr() string
	// Send sends one, or gives ErrWait where the machine takes none for now; nobody tells when it
	// does again. That it was sent says nothing of its arrival.
	Send(to string, b []byte) error
	Close()
}

// Disk is the machine's files as one work sees them. Calls wait for the disk. No call follows a symbolic link that stands
// under a file's own name; folders on the way to it may be links. What fails may be wholly or partly done, but for Rename.
//
// A loss of power loses what was not flushed: a file's content by Create, its name (made, changed or removed)
// by SyncFolder. Until then any part of it may or may not be there afterwards, each for itself.
type Disk interface {
	// Read is a regular file's content: ErrIrregular for all else, ErrTooLong beyond most bytes.
	Read(name string, most int64) ([]byte, error)
	// Create makes a new file with that content, for this user alone, and flushes the content. It fails with
	// fs.ErrExist where the name is taken by anything.
	Create(name string, content []byte) error
	// Rename gives a file another name, in one step, also where another file has that.
	Rename(from, to string) error
	// Remove takes a file's name away, or an empty folder's.
	Remove(name string) error
	// SyncFolder flushes the names in a folder.
	SyncFolder(folder string) error
	// Lock takes the lock that a file stands for, which it makes where there is none: ErrLocked where another
	// holds it. It ends with the process at the latest.
	Lock(name string) (Lock, error)
}

// Lock is a lock that is held. Its calls wait for the disk, and are for the work of OnDisk too.
type Lock interface {
	// Holds reports whether it still keeps others out: not where its file was removed or replaced.
	Holds() bool
	// Release gives it back. A second call does nothing.
	Release()
}
