package gossip

import (
	"cmp"
	"math/bits"
	"slices"

	"starlingwinch/internal/rendezvous"
)

// entry is a rumour that is being spread.
type entry struct {
	rumour rumour
	sent   int
	order  uint64 // later ones go first
}

// spread has what is held of a member told to others.
func (f *View) spread(m *member) { f.spreadAs(m, "") }

// spreadAs does, with who suspects it. What was being told of the member before is not any more.
func (f *View) spreadAs(m *member, by string) {
	f.news = slices.DeleteFunc(f.news, func(e *entry) bool {
		return e.rumour.name == m.Name && (by == "" || e.rumour.by == by || e.rumour.incarnation != m.Incarnation)
	})
	f.seq++
	f.news = append(f.news, &entry{rumour: f.claim(m, by), order: f.seq})
}

// PendingUpdates is how many rumours are still being told.
func (f *View) PendingUpdates() int { return len(f.news) }

// known counts a rumour as sent once more where another router tells it: it has spread so far already.
func (f *View) known(r *rumour) {
	for _, e := range f.news {
		if x := &e.rumour; x.name == r.name && x.state == r.state && x.incarnation == r.incarnation && x.boot == r.boot && x.rev == r.rev && x.by == r.by {
			e.sent += 2
			return
		}
	}
}

// claim is what is held of a member, in words.
func (f *View) claim(m *member, by string) rumour {
	r := rumour{name: m.Name, state: m.State, incarnation: m.Incarnation, boot: m.boot, by: by}
	if m.State == Suspect && by == "" {
		r.state = m.base
	}
	if by == "" && m.rev > 0 {
		r.rev, r.info, r.addr = m.rev, m.Info, m.told
	}
	return r
}

// send sends a datagram of at most so many bytes, with as many rumours as fit: first what its addressee is accused of,
// then what was told least often.
func (f *View) send(addr string, d datagram, to *member, most int) {
	if addr == "" {
		return
	}
	b := f.begin(&d)
	if to != nil && to != f.self && (to.State == Suspect || to.State == Faulty) {
		r := f.claim(to, f.cfg.Name)
		b, _ = appendRumour(b, &r, most)
	}
	if f.unsettledFor(to) && f.self.State != Left {
		r := f.claim(f.self, "") // nobody knows better, and who does not know this router yet needs all of it
		b, _ = appendRumour(b, &r, most)
	}
	if f.unsettledFor(to) && len(b)+len(f.agreed)*8+3 <= most {
		if raw := f.agreedBytes(); len(raw) > 0 {
			b = putBytes(b, fAgreed, raw)
		}
	}
	b = f.withNews(b, most)
	f.emit(addr, b)
}

// begin writes a datagram up to its rumours.
func (f *View) begin(d *datagram) []byte {
	f.seq++
	d.name, d.boot, d.seq, d.incarnation = f.cfg.Name, f.self.boot, f.seq, f.self.Incarnation
	d.runs = f.runs()
	d.leaving, d.digest, d.settled = f.self.State == Leaving || f.self.State == Left, f.digest, f.settled
	if f.used == len(f.bufs) {
		f.bufs = append(f.bufs, make([]byte, 0, MaxDatagramBytes))
	}
	return d.append(f.bufs[f.used][:0])
}

// runs is for how long this life of the router has run, in tenths of a second.
func (f *View) runs() uint64 { return uint64(f.now-f.begun)/100_000 + 1 }

func (f *View) emit(addr string, b []byte) {
	f.bufs[f.used] = b
	f.used++
	f.counts.Sent++
	f.counts.SentBytes += len(b)
	f.counts.Longest = max(f.counts.Longest, len(b))
	f.do(Send{addr, b})
}

// withNews adds rumours, those that were told least often first.
func (f *View) withNews(b []byte, most int) []byte {
	if len(f.news) == 0 {
		return b
	}
	slices.SortFunc(f.news, func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(y.order, x.order))
	})
	n := 0
	for _, e := range f.news {
		var fits bool
		if b, fits = appendRumour(b, &e.rumour, most); !fits || n == mostRumours-1 {
			break
		}
		e.sent++
		n++
	}
	limit := f.sendsOfRumour()
	if f.cfg.Defect == UpdatesForever {
		return b
	}
	f.news = slices.DeleteFunc(f.news, func(e *entry) bool { return e.sent >= limit })
	return b
}

// sendPadded sends a datagram that may be answered by one of full length.
func (f *View) sendPadded(addr string, d datagram) {
	f.emit(addr, pad(f.begin(&d), MaxDatagramBytes))
}

// Comparisons.

// parts are digests of parts of all that is known, with what members say of themselves.
func (f *View) parts() []uint32 {
	parts := make([]uint32, partsOfView)
	for _, m := range f.members { // any order: a sum
		if m.State != Left {
			parts[partOf(m.Name)] += uint32(rendezvous.Mix(m.print() + m.rev ^ rendezvous.Hash(m.told)))
		}
	}
	return parts
}

func partOf(name string) int { return int(rendezvous.Hash(name+"/") % partsOfView) }

// compared answers with what stands in the parts that differ, and compares the other way round soon.
func (f *View) compared(from string, d *datagram, size int) {
	if len(d.parts) != partsOfView {
		return
	}
	mine := f.parts()
	var names []string
	for name, m := range f.members {
		// The danger: one that has left is in no part, and whoever missed that it did is told of all others again and again.
		if p := partOf(name); mine[p] != d.parts[p] && (m.State != Left || f.now < m.Since+untold) {
			names = append(names, name)
		}
	}
	if len(names) == 0 && slices.Equal(mine, d.parts) {
		return
	}
	f.compare = min(f.compare, f.rounds+1)
	slices.Sort(names)
	f.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	b := f.begin(&datagram{header: header{kind: differing}})
	for i, name := range names {
		r := f.claim(f.members[name], "")
		var fits bool
		if b, fits = appendRumour(b, &r, min(size, MaxDatagramBytes)); !fits || i == mostRumours-1 {
			break
		}
	}
	if len(b) <= size {
		f.emit(from, b)
	}
}

// Agreement.

// order makes the places of members anew where they have changed. All that hold the same digest have the same.
func (f *View) places() {
	if !f.touched {
		return
	}
	f.touched = false
	f.names = f.names[:0]
	for name, m := range f.members {
		if m.State != Left {
			f.names = append(f.names, name)
		}
	}
	slices.Sort(f.names)
}

// settle judges whether all that are here have said the digest of this view.
func (f *View) settle() {
	f.places()
	if f.agreedOn != f.digest || len(f.agreed) != (len(f.names)+63)/64 {
		f.agreedOn = f.digest
		f.agreed = make([]uint64, (len(f.names)+63)/64)
		f.agreeing(f.cfg.Name)
	}
	all := !f.retired && !f.gone
	for i, name := range f.names {
		all = all && (!f.members[name].State.IsAlive() || f.cfg.Defect == SettledEarly || f.agreed[i/64]&(1<<(i%64)) != 0)
	}
	if all && !f.settled && f.cfg.Defect != UpdatesForever {
		// All have it: what is told of members' states needs no telling any more.
		f.news = slices.DeleteFunc(f.news, func(e *entry) bool { return e.rumour.rev <= 1 && e.rumour.addr == "" })
	}
	if all != f.settled {
		f.settled, f.changed = all, f.now
		f.do(Changed{})
		if all {
			f.logf("fleet: settled, %d routers here of %d known, digest %016x", f.here(), len(f.names), f.digest)
		} else {
			f.logf("fleet: not settled any more, digest %016x", f.digest)
		}
	}
}

func (f *View) here() (n int) {
	for _, m := range f.members { // any order: a count
		n += b2i(m.State.IsAlive())
	}
	return n
}

func (f *View) agreeing(name string) {
	if i, found := slices.BinarySearch(f.names, name); found {
		f.agreed[i/64] |= 1 << (i % 64)
	}
}

// agree notes who has said this view's digest: the sender, and those that it has heard it from.
func (f *View) agree(m *member, d *datagram) {
	f.settle()
	if d.digest != f.digest {
		if d.settled || f.settled {
			f.compare = min(f.compare, f.rounds+1) // one of the two does not know yet that there is news
		}
		m.unsettled = f.now
		return
	}
	if m.unsettled = 0; !d.settled {
		m.unsettled = f.now
	}
	f.agreeing(m.Name)
	for i := 0; i < len(d.agreed) && i/8 < len(f.agreed); i++ {
		f.agreed[i/8] |= uint64(d.agreed[i]) << (8 * (i % 8))
	}
	if last := len(f.names) % 64; last != 0 && len(f.agreed) > 0 {
		f.agreed[len(f.agreed)-1] &= 1<<last - 1
	}
}

// unsettledFor reports whether it helps to tell who has said the digest.
func (f *View) unsettledFor(to *member) bool {
	return !f.settled || to != nil && to.unsettled > 0 && f.now < to.unsettled+told
}

func (f *View) agreedBytes() []byte {
	if f.agreedOn != f.digest {
		return nil
	}
	n := 0
	for _, w := range f.agreed {
		n += bits.OnesCount64(w)
	}
	if n < 2 {
		return nil // that it has said it itself stands in the header
	}
	raw := make([]byte, (len(f.names)+7)/8)
	for i := range raw {
		raw[i] = byte(f.agreed[i/8] >> (8 * (i % 8)))
	}
	return raw
}

// Observers.

// answerAsk answers an observer with a page of the view. The danger: an answer that is longer than the question lets
// anybody have others flooded.
func (f *View) answerAsk(to string, d *datagram, size int) {
	if !f.mayAnswer() {
		return
	}
	list := f.Members()
	out := datagram{header: header{kind: page}, nonce: d.nonce, number: d.number, pages: uint64(len(list)), age: uint64(f.now-f.changed) / 1000}
	b := f.begin(&out)
	for i := d.number; i < uint64(len(list)); i++ {
		m := f.members[list[i].Name]
		r := f.claim(m, "")
		r.state, r.addr, r.age = m.State, "", uint64(f.now-m.Since)/1000
		var fits bool
		if b, fits = appendRumour(b, &r, min(size, MaxDatagramBytes)); !fits {
			break
		}
	}
	if len(b) <= size {
		f.emit(to, b)
	}
}
