package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["8"] = pipelineBehindLostAnswer }

// Figures of case 8.
const (
	pipeRounds   = 4
	pipeClients  = 48    // in each round; the n-th asks for n pages first
	pipeValue    = 60000 // bytes of a page
	pipeLookups  = 530   // lookups behind the request whose answer is lost
	pipeLast     = 31    // of these, the lookups of the last piece
	pipeMSS      = 1460  // segment size of the clients' networks
	pipeReceives = 16 << 10
)

// pipelineBehindLostAnswer has clients send some 550 commands each, in three pieces, and read the answers after the last piece.
// The answer of a cache to one command of each client gets lost. Each command must get its final answer.
func pipelineBehindLostAnswer(l *lab, trouble bool) (verdict, error) {
	var v verdict
	classes := rajkotClasses()
	classes[1].Effect = "non_idempotent"
	f, err := l.startFleet(9, rajkotSettings(classes), map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return v, err
	}
	for _, c := range f.caches {
		c.setHandle(func(cmd *command) {
			switch {
			case strings.HasPrefix(cmd.key(), "page"):
				cmd.conn.write(answerServed(strings.Repeat("x", pipeValue)+cmd.id(), "hit"))
			case strings.HasPrefix(cmd.key(), "lost") && trouble:
				l.notef("cache %s: the answer to %s gets lost", c.name, cmd.id())
			default:
				cmd.serve()
			}
		})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	answered, ends := 0, map[string]int{}
	for i := range pipeRounds * pipeClients {
		if i%pipeClients == 0 {
			wg.Wait()
		}
		wg.Go(func() {
			p := &pipeline{lab: l, name: fmt.Sprintf("client %d", i+1), pages: i%pipeClients + 1}
			err := p.play(f.router.addr)
			mu.Lock()
			defer mu.Unlock()
			answered += p.answered
			ends[p.end]++
			if err != nil {
				l.notef("%s: %v", p.name, err)
				return
			}
			if p.answered < p.sent && p.end == endOrderly {
				v.addf("%s: the router read all %d commands, answered %d, and closed the connection %d ms after the last command was written; "+
					"last answer: %q", p.name, p.sent, p.answered, p.endedAt.Sub(p.wroteLast).Milliseconds(), p.lastText)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	if f.router.hasExited() {
		v.addf("the router has ended: %v", f.router.err)
	}
	l.notef("%d answers; ends of connections: %v", answered, ends)
	fmt.Printf("%d answers; ends of connections: %v; clients with lost commands: %d\n", answered, ends, len(v.broken))
	if answered < pipeRounds*pipeClients*pipeLookups/2 {
		return v, errCannotJudge
	}
	return v, nil
}

// Ends of a client's connection.
const (
	endAll     = "all answered"
	endOrderly = "closed by the router after it has read everything"
	endReset   = "reset: something was not read"
	endSilent  = "no answer for too long"
)

// pipeline is a client that sends its commands in three pieces and then reads the answers.
type pipeline struct {
	lab            *lab
	name           string
	pages          int
	sent, answered int
	wroteLast      time.Time
	endedAt        time.Time
	end            string
	lastText       string
}

// play sends the commands and reads the answers.
func (p *pipeline) play(addr string) error {
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, pipeMSS)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, pipeReceives)
		})
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	var pieces [3][]byte
	for i := range p.pages {
		pieces[0] = append(pieces[0], get(fmt.Sprintf("page%d", i), newID(), "call-lookup", 1200)...)
	}
	pieces[1] = encodeCommand("C.GET", "lost-"+newID(), newID(), "c=log-page,d=3000")
	for i := range pipeLookups {
		piece := 1
		if i >= pipeLookups-pipeLast {
			piece = 2
		}
		pieces[piece] = append(pieces[piece], get(fmt.Sprintf("call%d", i), newID(), "call-lookup", 1200)...)
	}
	p.sent = p.pages + 1 + pipeLookups
	for i, pause := range []time.Duration{250 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond} {
		if _, err := conn.Write(pieces[i]); err != nil {
			return err
		}
		p.wroteLast = time.Now()
		time.Sleep(pause)
	}
	p.lab.notef("%s: wrote %d commands, %d pages among them", p.name, p.sent, p.pages)
	p.read(conn)
	p.lab.notef("%s: %d of %d commands answered; %s; last answer %q", p.name, p.answered, p.sent, p.end, p.lastText)
	return nil
}

// read reads the answers up to the last, or to the end of the connection.
func (p *pipeline) read(conn net.Conn) {
	in := bufio.NewReaderSize(conn, 32<<10)
	p.end = endAll
	for p.answered < p.sent {
		conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		r, err := readReply(in)
		if err == nil {
			p.answered++
			p.lastText = r.text[:min(len(r.text), 60)]
			continue
		}
		p.endedAt = time.Now()
		var timeout net.Error
		switch {
		case errors.Is(err, io.EOF):
			p.end = endOrderly
		case errors.As(err, &timeout) && timeout.Timeout():
			p.end = endSilent
		default:
			p.end = endReset
		}
		return
	}
}
