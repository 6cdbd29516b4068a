package gossip

import "fmt"

// maxReplyRate is the number of answers a second to senders that are no members.
const maxReplyRate = 100

// replyLimiter is a token bucket of answers to senders that are no members.
type replyLimiter struct {
	tokens float64
	at     Time // when tokens were counted last
}

// take takes a token, if there is one.
func (l *replyLimiter) take(now Time) bool {
	l.tokens = min(maxReplyRate, l.tokens+float64(now-l.at)/1e6*maxReplyRate)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// EncodeQuery returns a datagram by which an observer, which never becomes a member, asks for the members from an index on.
// It has the full length, as no answer is longer than its query.
func EncodeQuery(first int, nonce uint32) []byte {
	d := datagram{header: header{kind: query}, nonce: nonce, first: uint64(first)}
	return pad(d.append(nil), MaxDatagramBytes)
}

// Page is the answer to a query: some of the members of a view.
type Page struct {
	Router  string // who has answered
	Digest  uint64 // of its view
	Settled bool
	For     Time     // for which the view has been settled, or unsettled
	First   int      // index of the first member of the page
	Of      int      // number of members of the view
	Members []Member // Since is an age
}

// PageError says that a datagram is not the answer to a query.
type PageError struct {
	Kind  uint8
	Nonce uint32
}

// Error implements error.
func (e *PageError) Error() string {
	return fmt.Sprintf("fleet: no answer to the question: kind %d, nonce %d", e.Kind, e.Nonce)
}

// DecodePage reads the answer to the query with that nonce.
func DecodePage(b []byte, nonce uint32) (*Page, error) {
	d, err := parse(b)
	if err != nil {
		return nil, err
	}
	if d.kind != page || d.nonce != nonce || d.total > MaxMembers {
		return nil, &PageError{uint8(d.kind), d.nonce}
	}
	p := &Page{
		Router: d.name, Digest: d.digest, Settled: d.settled, For: Time(d.age) * 1000, First: int(d.first), Of: int(d.total),
	}
	for _, u := range d.updates {
		p.Members = append(p.Members, Member{
			Name: u.name, State: u.state, Incarnation: u.incarnation, Since: Time(u.age) * 1000, Info: u.info,
		})
	}
	return p, nil
}

// answerQuery sends a page of the view. It is no longer than the query: otherwise a router could be used to flood the owner
// of a forged address.
func (v *View) answerQuery(to string, d *datagram, size int) {
	if !v.replies.take(v.now) {
		return
	}
	members := v.Members()
	b := v.beginDatagram(&datagram{
		header: header{kind: page}, nonce: d.nonce, first: d.first, total: uint64(len(members)),
		age: uint64(v.now-v.agreement.settledChangedAt) / 1000,
	})
	for i := d.first; i < uint64(len(members)); i++ {
		m := v.members[members[i].Name]
		u := v.updateOf(m, "")
		u.state, u.addr, u.age = m.State, "", uint64(v.now-m.Since)/1000
		var fits bool
		if b, fits = appendUpdate(b, &u, min(size, MaxDatagramBytes)); !fits {
			break
		}
	}
	if len(b) <= size {
		v.emit(to, b)
	}
}
