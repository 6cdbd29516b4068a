package gossip

import "fmt"

// Observers ask a router for its view by datagrams, a page each. They never become members.

// EncodeQuery is a datagram that asks for the members from number first on. It is as long as a datagram may be, as no
// answer is longer than its question.
func EncodeQuery(first int, nonce uint32) []byte {
	return pad((&datagram{header: header{kind: ask}, nonce: nonce, number: uint64(first)}).append(nil), MaxDatagramBytes)
}

// Page is an answer to a question.
type Page struct {
	Router  string
	Digest  uint64
	Settled bool
	For     Time // for which the view has been settled, or has not been
	First   int
	Of      int // members there are
	Members []Member
}

// DecodePage reads the answer to the question with that nonce. Since of its members is an age.
func DecodePage(b []byte, nonce uint32) (*Page, error) {
	d, err := parse(b)
	if err != nil {
		return nil, err
	}
	if d.kind != page || d.nonce != nonce || d.pages > MaxMembers {
		return nil, fmt.Errorf("fleet: no answer to the question: kind %d, nonce %d", d.kind, d.nonce)
	}
	p := &Page{Router: d.name, Digest: d.digest, Settled: d.settled, For: Time(d.age) * 1000, First: int(d.number), Of: int(d.pages)}
	for _, r := range d.rumours {
		p.Members = append(p.Members, Member{Name: r.name, State: r.state, Incarnation: r.incarnation, Since: Time(r.age) * 1000, Info: r.info})
	}
	return p, nil
}
