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

// Sizes of a play of pipelined requests.
const (
	pipelineConnections = 150
	pipelineRounds      = 3 // a long write and pipelineReads reads each
	pipelineReads       = 2
	longValueBytes      = 64 << 10
	answerWithin        = 5 * time.Second // far beyond each deadline and its grace
)

// pipelineClasses are the classes of a play of pipelined requests.
var pipelineClasses = []class{
	{Name: "log-page", Effect: "read_like", Aim: 1_000_000, HardLimit: 3_000_000, LateWorth: 0.2, Worth: 5},
	{Name: "confirm-contact", Effect: "idempotency_key", Aim: 1_200_000, HardLimit: 2_500_000, KeyTTL: 4_000_000, DedupScope: "all",
		LateWorth: 0.2, Worth: 5},
}

// pipelinedRequest is one request of a play of pipelined requests.
type pipelinedRequest struct {
	id   string
	wire []byte
}

// newPipeline returns the requests of one connection.
func newPipeline() []pipelinedRequest {
	var requests []pipelinedRequest
	value := strings.Repeat("v", longValueBytes)
	for range pipelineRounds {
		id := newID()
		meta := "c=confirm-contact,t=acme,d=2500,k=" + newID()[:16]
		requests = append(requests, pipelinedRequest{id, command("C.SET", newID()[:16], id, meta, value)})
		for range pipelineReads {
			id := newID()
			requests = append(requests, pipelinedRequest{id, command("C.GET", newID()[:16], id, "c=log-page,t=acme,d=3000")})
		}
	}
	return requests
}

// ended is how a connection ended.
type ended uint8

const (
	endedWell  ended = iota // all requests were answered
	endedByFIN              // the router ended it in order, and had read all that was sent
	endedByRST              // the router reset it
	endedLate               // answers did not come
)

// exchange sends requests on one new connection, all at once, and returns how many were answered and written whole, and how the
// connection ended.
func exchange(p *play, router string, requests []pipelinedRequest) (answered, written int, end ended) {
	conn, err := net.DialTimeout("tcp", router, answerWithin)
	if err != nil {
		return 0, 0, endedByRST
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(answerWithin))
	done := make(chan int)
	go func() {
		count := 0
		for _, r := range requests {
			if _, err := conn.Write(r.wire); err != nil {
				break
			}
			p.record.line("client", "has sent %s, %d bytes", r.id, len(r.wire))
			count++
		}
		done <- count
	}()
	reader := bufio.NewReader(conn)
	for answered < len(requests) {
		var answer string
		if answer, err = readReply(reader); err != nil {
			break
		}
		p.record.line("client", "got for %s %.40q", requests[answered].id, answer)
		answered++
	}
	switch {
	case err == nil:
		return answered, <-done, endedWell
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		end = endedByFIN
	case errors.Is(err, syscall.ECONNRESET):
		end = endedByRST
	default:
		end = endedLate
	}
	if end == endedByFIN && resetFollows(conn) {
		end = endedByRST
	}
	written = <-done
	p.record.line("client", "connection ended (%d): %d answered of %d sent: %v", end, answered, written, err)
	return answered, written, end
}

// resetFollows reports whether a reset follows the orderly end of a connection: the system sends one where the router closes its
// socket before it has read all that was sent.
func resetFollows(conn net.Conn) bool {
	const afterLinger = 2 * time.Second
	time.Sleep(afterLinger)
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	failed := true
	err = raw.Control(func(fd uintptr) {
		code, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		failed = err != nil || code != 0
	})
	return err != nil || failed
}

// playPipelinedWrites has clients send many commands at once, and checks that each request that the router has read gets an answer.
func playPipelinedWrites(p *play) ([]string, error) {
	counts := newEffects()
	var entries []entry
	for i := range writeCaches {
		c, err := startCache(p, cacheOptions{name: fmt.Sprintf("s-%d", i+1), slots: 24, leastWork: 130 * time.Millisecond,
			mostWork: 230 * time.Millisecond}, counts)
		if err != nil {
			return nil, err
		}
		entries = append(entries, c.entry())
	}
	d, err := startDiscovery(p, entries)
	if err != nil {
		return nil, err
	}
	router, err := startRouter(p, routerConfig(d.address, 64, entries, pipelineClasses))
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var breaches []string
	var sent, answeredAll, unread int
	var all sync.WaitGroup
	for range pipelineConnections {
		requests := newPipeline()
		all.Go(func() {
			parts := [][]pipelinedRequest{requests}
			if !p.trouble { // one command at a time, each on a connection of its own
				parts = nil
				for i := range requests {
					parts = append(parts, requests[i:i+1])
				}
			}
			for _, part := range parts {
				answered, written, end := exchange(p, router, part)
				mu.Lock()
				sent += written
				answeredAll += answered
				for _, r := range part[answered:max(answered, written)] {
					if end == endedByRST {
						unread++
						continue
					}
					breaches = append(breaches, fmt.Sprintf("%s was read, and got no answer", r.id))
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	p.say("requests sent whole %d, answered %d, not answered on connections that were reset %d, read and not answered %d",
		sent, answeredAll, unread, len(breaches))
	return breaches, nil
}
