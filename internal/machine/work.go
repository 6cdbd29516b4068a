package machine

import "sync"

// defaultWorkers is the maximum number of goroutines for Work. Long work is rare, and the loop needs a processor for itself.
const defaultWorkers = 2

// workQueue runs functions outside the loop. The queue has no limit, because callers wait for the end of one function, such as
// writing a file, before they add the next.
type workQueue struct {
	post       func(func())
	maxWorkers int // maximum number of goroutines

	mu    sync.Mutex
	queue []job
	busy  int
	ended bool
}

type job struct{ f, done func() }

func (w *workQueue) add(f, done func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.queue = append(w.queue, job{f, done})
	if w.busy < w.maxWorkers {
		w.busy++
		go w.run()
	}
}

// run runs functions until the queue is empty, so that an idle machine has no worker goroutines.
func (w *workQueue) run() {
	for {
		j, ok := w.next()
		if !ok {
			return
		}
		j.f()
		w.post(j.done)
	}
}

func (w *workQueue) next() (job, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) == 0 {
		w.busy--
		return job{}, false
	}
	j := w.queue[0]
	w.queue[0] = job{}
	w.queue = w.queue[1:]
	return j, true
}

func (w *workQueue) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.queue = nil
}
