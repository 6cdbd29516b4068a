package gossip

import "fmt"

// maxReplyRate is the maximum number of answers per second to senders that are not members. It is also the burst size.
const maxReplyRate = 100

// replyLimiter is a token bucket that limits answers to senders that are not members.
type replyLimiter struct {
	tokens float64
	at     Time // when tokens was last updated
}

// allow takes a token and reports whether one was available.
func (l *replyLimiter) allow(now Time) bool {
	l.tokens = min(maxReplyRate, l.tokens+float64(now-l.at)/1e6*maxReplyRate)
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// EncodeQuery returns a datagram in which an observer, which never becomes a member, asks for the members from index first on.
// The datagram has the maximum length, because an answer is never longer than its query.
func EncodeQuery(first int, nonce uint32) []byte {
	d := datagram{header: header{kind: query}, nonce: nonce, first: uint64(first)}
	return pad(d.append(nil), MaxDatagramBytes)
}

// Page is the answer to a query and holds some of the members of a view.
type Page struct {
	Router     string // name of the router that answered
	Digest     uint64 // digest of the router's view
	Settled    bool
	SettledFor Time     // time since Settled last changed
	First      int      // index of the first member of the page
	Total      int      // total number of members of the view
	Members    []Member // Since holds the time spent in the state, not an instant
}

// PageError is the error for a datagram that is not the answer to a query.
type PageError struct {
	Kind  uint8
	Nonce uint32
}

// Error implements the error interface.
func (e *PageError) Error() string {
	return fmt.Sprintf("fleet: no answer to the question: kind %d, nonce %d", e.Kind, e.Nonce)
}

// DecodePage decodes the answer to the query with the given nonce.
func DecodePage(b []byte, nonce uint32) (*Page, error) {
	d, err := parse(b)
	if err != nil {
		return nil, err
	}
	if d.kind != page || d.nonce != nonce || d.total > MaxMembers {
		return nil, &PageError{uint8(d.kind), d.nonce}
	}
	p := &Page{
		Router: d.name, Digest: d.digest, Settled: d.settled, SettledFor: Time(d.age) * 1000, First: int(d.first), Total: int(d.total),
	}
	for _, u := range d.updates {
		p.Members = append(p.Members, Member{
			Name: u.name, State: u.state, Incarnation: u.incarnation, Since: Time(u.age) * 1000, Info: u.info,
		})
	}
	return p, nil
}

// answerQuery sends a page of the view. The page is no longer than the query; otherwise an attacker that forges the sender's
// address could use the router to amplify a flood.
func (v *View) answerQuery(to string, d *datagram, size int) {
	if !v.replies.allow(v.now) {
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
