package loopback

import (
	"bufio"
	"os"
	"os/exec"
	"runtime"
	"syscall"
)

// maxLine bounds a line of a router's log, in bytes; what is longer comes as several.
const maxLine = 4096

// processStarter starts processes that do not outlive this one.
//
// Routers must not serve on after this process was killed. The kernel kills them when the thread that started them ends,
// so one thread starts all of them and stays.
type processStarter struct {
	jobs chan func()
}

func newProcessStarter() *processStarter {
	n := &processStarter{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		for f := range n.jobs {
			f()
		}
	}()
	return n
}

func (n *processStarter) close() { close(n.jobs) }

// process is one process of a router.
type process struct {
	cmd  *exec.Cmd
	over chan struct{} // closed once it has ended and was waited for
}

// start starts a program. line is called with each line of its standard error and ended once it has ended, both
// in a goroutine of the process.
func (n *processStarter) start(cmd *exec.Cmd, line func(string), ended func(*os.ProcessState)) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
		Setpgid:   true, // an interrupt from the terminal is for this process, which ends the routers in order
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	done := make(chan error)
	n.jobs <- func() { done <- cmd.Start() }
	if err := <-done; err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, over: make(chan struct{})}
	go func() {
		defer close(p.over)
		r := bufio.NewReaderSize(stderr, maxLine)
		for {
			text, _, err := r.ReadLine()
			if err != nil {
				break
			}
			line(string(text))
		}
		_ = cmd.Wait() // its state tells
		ended(cmd.ProcessState)
	}()
	return p, nil
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// signal tells the process; one that has ended is not told any more, whoever has its id now.
func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and returns when it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.over
}
