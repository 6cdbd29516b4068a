// Package machine defines the interface between the router and the operating system: clock and timers, connections and
// datagrams, files, entropy, signals and the log. The router and the stand-ins use only this interface. New returns the
// real machine; package sim implements a virtual machine on which equal seeds give equal runs.
//
// A machine notifies its users by callbacks. All calls, in both directions, are made in one goroutine, the machine's event
// loop. The exceptions are Post and Log, which any goroutine may call, and the functions that Work and OnDisk run. The
// machine never calls back before a call to it has returned, so that user code is never re-entered. Users start no
// goroutines and never block.
//
// The machine determines the order of callbacks: events of one instant are reported in the order in which they happened,
// and timers that are due at one instant fire in the order in which they were set.
//
// Errors may be wrapped with an address or the kernel's error text, so that callers must compare them with errors.Is.
// ErrWait, ErrClosed and io.EOF are returned unwrapped.
package machine

import (
	"errors"
	"io"
)

// Time is an instant or a duration in microseconds. An instant is the Unix time at the machine's start plus the time elapsed
// since then: steps of the system clock do not affect it.
type Time = int64

// ErrWait reports that a call would block. The handler is notified when the connection is ready.
var ErrWait = errors.New("machine: operation would block")

// ErrTimeout reports that a connection was not established within its timeout.
var ErrTimeout = errors.New("machine: the connection did not come up in time")

// ErrDescriptors reports that the process has reached its limit of open descriptors.
var ErrDescriptors = errors.New("machine: no file descriptor is left")

// ErrShortage reports that this machine had no memory, port or route for a connection until the connection's timeout.
var ErrShortage = errors.New("machine: no memory, port or route for a connection")

// ErrAddressInUse reports that another socket holds the listen address, often a socket of the previous process, which ends soon.
var ErrAddressInUse = errors.New("machine: address already in use")

// ErrAddressNotAvailable reports that this machine does not have the listen address at the moment: the interface may not be up yet.
var ErrAddressNotAvailable = errors.New("machine: not an address of this machine")

// ErrNoWorker reports that this machine can't start workers.
var ErrNoWorker = errors.New("machine: workers are not supported")

// ErrRefused reports that no process listens at the address.
var ErrRefused = errors.New("machine: connection refused")

// ErrReset reports that the connection is broken, for example because the peer reset it.
var ErrReset = errors.New("machine: connection reset")

// ErrClosed reports that this side has closed the connection.
var ErrClosed = errors.New("machine: connection closed by this side")

// ErrLocked reports that another process holds the lock.
var ErrLocked = errors.New("machine: locked by another process")

// ErrTooLong reports that a file is longer than the caller's limit.
var ErrTooLong = errors.New("machine: longer than the limit")

// ErrNotRegularFile reports that a name does not refer to a regular file, but for example to a folder, a link or a device.
var ErrNotRegularFile = errors.New("machine: not a regular file")

// Signal is a signal that an operator or an operator's tool sends to the process.
type Signal uint8

const (
	Terminate Signal = iota // SIGTERM or SIGINT: drain and exit
	HangUp                  // SIGHUP: reload the configuration
)

// Machine is the interface that a process has to the machine it runs on.
type Machine interface {
	// Now returns the time of a clock that never steps. The time does not advance during a callback.
	Now() Time
	// Wall returns the Unix time of the system clock, which may be wrong and may step.
	Wall() Time
	// ClockLag returns how far Now lags behind the real time: the time spent in the current callback, including any time for
	// which the process was suspended in it.
	ClockLag() Time
	// OnResume registers f to be called before the first callback that follows an interval of at least after without
	// callbacks. In such an interval the loop was idle or the process was suspended, so that much unread input may be
	// pending, in any order.
	OnResume(after Time, f func())
	// Entropy returns an unpredictable random number. On a virtual machine, the seed determines the number.
	Entropy() uint64

	// At schedules a call of f at t, or up to a millisecond later. If t has passed, f is called in a later turn of the loop.
	At(t Time, f func()) Timer
	// Post schedules a call of f in a later turn of the loop. Any goroutine may call Post.
	Post(f func())
	// Work runs f, a long computation, outside the loop and then calls done in a turn of the loop. f must not access
	// anything that the loop uses at the same time.
	Work(f, done func())

	// Listen calls accept with each connection accepted at the address, which is an IP address and a port (0 for any free
	// port). accept returns the connection's handler; nil closes the connection. ErrAddressInUse, ErrAddressNotAvailable and
	// ErrShortage may be transient; other errors are permanent.
	Listen(addr string, accept func(Conn) Handler) (Listener, error)
	// Dial opens a connection. done is called once: with an established connection, for which done returns the handler (nil
	// closes the connection), or with the reason why no connection was established within the timeout. Until done is called,
	// the Dialing can be cancelled.
	Dial(addr string, timeout Time, done func(Conn, error) Handler) Dialing
	// ListenPacket calls onPacket with each datagram received at the address. onPacket must not retain b. Listen returns the
	// same errors.
	ListenPacket(addr string, onPacket func(from string, b []byte)) (PacketConn, error)

	// Spawn starts a worker: another process of this program that shares nothing but one connection with the router. done is
	// called once: with the connection, for which done returns the handler (nil kills the worker), or with the reason why the
	// worker could not be started. When the worker ends, for any reason, the connection ends. A worker holds two descriptors
	// until Kill.
	Spawn(w Worker, done func(Conn, error) Handler) Process

	// OnDisk runs f, which works on files, outside the loop and then calls done in a turn of the loop. The functions run one
	// at a time, in the order of the calls. A function may block for as long as the disk does, possibly for ever: a caller
	// waits for done, with a separate timeout, before it calls OnDisk again. f must not access anything that the loop uses
	// at the same time, and must not use the Disk after f returns. If the process ends, f may stop at any point.
	OnDisk(f func(Disk), done func())
	// ReadFile returns a regular file's content. A file longer than maxBytes is an error. The call blocks for as long
	// as the disk does.
	ReadFile(name string, maxBytes int64) ([]byte, error)
	// OnSignal registers f to be called for each signal. Signals received earlier are queued and delivered to f.
	OnSignal(f func(Signal))
	// Log adds a line to the process's log. Log never blocks: lines are dropped if the log's reader does not keep up. Any
	// goroutine may call Log.
	Log(line string)
}

// Timer is a scheduled call.
type Timer interface {
	// Stop cancels the call. A stopped timer references nothing. After the scheduled call, Stop does nothing.
	Stop()
}

// Handler is notified of a connection's events. No method is called after the connection's Close.
type Handler interface {
	// Readable reports that bytes, the end or an error arrived since the last call. Input that is left unread may cause no
	// further call: a handler reads until ErrWait or resumes reading by itself. The call may be spurious.
	Readable()
	// Writable reports that writing can continue after a short Write. The call may be spurious.
	Writable()
}

// Conn is an established stream connection, over TCP or to a worker.
type Conn interface {
	// Read reads the bytes that have arrived, without blocking. It returns ErrWait if there are none, io.EOF at the end and
	// ErrReset if the connection is broken.
	Read(b []byte) (int, error)
	// Arrival returns lower bounds of the times at which the bytes of the latest Read arrived at this machine: of all of them, and of
	// the last one. They lie before the Read where the loop was busy, reading had stopped, or the connection waited for Accept. They may be
	// a few milliseconds late.
	Arrival() (first, last Time)
	// Write sends as much of b as is possible without blocking. n < len(b) with a nil error means that the send buffer is
	// full. After an error, nothing more can be sent on the connection; bytes that arrived before may still be readable.
	Write(b []byte) (n int, err error)
	// HasNothingUnread reports whether the connection is open and has nothing to read, neither bytes nor the end. It consumes
	// nothing.
	HasNothingUnread() bool
	// EndError returns nil while the peer may send more, io.EOF after the peer has closed its sending side, and ErrReset after the
	// connection broke, as far as the machine has notified the handler. Bytes that arrived before may still be unread. EndError
	// consumes nothing.
	EndError() error
	// CloseWrite closes this side's sending direction. The peer reads all bytes sent before and then the end.
	CloseWrite() error
	// Close closes the connection and its descriptor. If received bytes were left unread, the peer may see a reset instead of
	// the end. A second call does nothing.
	Close()
	// Abort closes the connection like Close, but drops the bytes written that have not reached the peer's machine; the peer then
	// sees a reset. After Close, the machine goes on sending them for as long as the peer does not take them.
	Abort()
	// HasUndelivered reports whether bytes written have not reached the peer's machine, as far as this machine knows.
	HasUndelivered() bool
	// Local and Remote return the two addresses, which are empty for a connection to a worker.
	Local() string
	Remote() string
}

// Listener accepts connections at an address.
type Listener interface {
	Addr() string
	// Pause stops accepting connections until Resume. New connections wait in the machine's queue, or are refused if the queue
	// is full.
	Pause()
	Resume()
	// Finish accepts the connections that wait in the queue, then closes the listener and calls done in a later turn of the
	// loop. Accepting may have to wait for Resume or for descriptors. Connections that arrive before the close are accepted
	// too, up to the capacity of one queue. If Close is called first, done is not called.
	Finish(done func())
	// Close closes the listener. Connections that wait in the queue are reset; accepted connections stay open.
	Close()
}

// Dialing is a connection that is being established.
type Dialing interface {
	// Cancel abandons the connection: done is not called after it, and the descriptor is closed.
	Cancel()
	// Blocked reports whether connecting has not begun because of a shortage on this machine. Nothing has been sent then.
	Blocked() bool
}

// Worker describes a worker to start.
type Worker struct {
	// Args is the worker's command line, without the program's name. The worker's standard input is its end of the
	// connection, a blocking stream; its output is discarded.
	Args []string
	// Env is the worker's complete environment.
	Env []string
	// RunInProcess, if set, runs in a goroutine of this process instead of a worker process. Its argument is the worker's end of
	// the connection, which RunInProcess closes. Kill only closes the connection: a function that never returns keeps its goroutine
	// for the life of the process.
	RunInProcess func(io.ReadWriteCloser)
}

// Process is a worker that was started.
type Process interface {
	// Kill ends the worker at once and closes its connection. If done was not called yet, it is never called. Kill must also
	// be called for a worker that has ended, to release its descriptors, which happens soon after. A second call does nothing.
	Kill()
}

// PacketConn sends and receives datagrams, which may be lost, delayed, duplicated or reordered.
type PacketConn interface {
	Addr() string
	// Send sends a datagram, or returns ErrWait if the machine accepts none at the moment. No callback reports when sending is
	// possible again. A nil error does not mean that the datagram arrives.
	Send(to string, b []byte) error
	Close()
}

// Disk gives a function run by OnDisk access to the machine's files. Calls block on the disk. No call except SyncFolder follows
// a symbolic link in the last element of a name; the folders before it may be links. A failed call may have completed or
// changed a part, except for Rename.
//
// A loss of power loses data that was not flushed. Create flushes a file's content; SyncFolder flushes names that were
// created, changed or removed. Before the flush, each part may or may not survive, independently of the others.
type Disk interface {
	// Read returns a regular file's content. It returns ErrNotRegularFile for anything else and ErrTooLong for more than maxBytes.
	Read(name string, maxBytes int64) ([]byte, error)
	// Create creates a file with the content, accessible only by this user, and flushes the content. It fails with fs.ErrExist
	// if anything exists under the name.
	Create(name string, content []byte) error
	// Rename renames a file atomically and replaces a file that has the new name.
	Rename(from, to string) error
	// Remove removes a file or an empty folder.
	Remove(name string) error
	// SyncFolder flushes the names in a folder.
	SyncFolder(folder string) error
	// Lock acquires the lock on a file, which it creates if necessary. It returns ErrLocked if another process holds the lock.
	// The lock ends with the process at the latest.
	Lock(name string) (Lock, error)
}

// Lock is an acquired lock. Its methods block on the disk and may only be called in functions run by OnDisk.
type Lock interface {
	// Holds reports whether the lock still excludes other processes. It does not once its file was removed or replaced.
	Holds() bool
	// Release releases the lock. A second call does nothing.
	Release()
}
