package machine

import "sync"

// workers is how many goroutines do work beside the loop: what is worth it is rare, and a processor
// must be left to the loop.
const workers = 2

// work is what runs beside the loop. Its queue has no bound of its own: it is for a few things at a time, such as
// writing a file, and who gives it work waits for the end before giving more.
type work struct {
	post func(func())
	most int // goroutines

	mu    sync.Mutex
	queue []job
	busy  int
	ended bool
}

type job struct{ f, done func() }

func (w *work) add(f, done func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.queue = append(w.queue, job{f, done})
	if w.busy < w.most {
		w.busy++
		go w.run()
	}
}

// run does what is in the queue and ends with it: a machine at rest has no idle workers.
func (w *work) run() {
	for {
		j, ok := w.next()
		if !ok {
			return
		}
		j.f()
		w.post(j.done)
	}
}

func (w *work) next() (job, bool) {
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

func (w *work) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.queue = nil
}
