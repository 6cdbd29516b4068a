// Package transport carries a view of the fleet (package fleet) over a machine's datagrams and clock. It decides nothing.
package transport

import (
	"context"
	"fmt"
	"log/slog"

	"starlingwinch/internal/gossip"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

// Transport is a view on a machine. All calls are made in the machine's loop.
type Transport struct {
	m       machine.Machine
	logger  *slog.Logger
	fleet   *gossip.View
	conn    machine.PacketConn
	timer   machine.Timer
	changed func()
	closed  bool
	refused int // datagrams that the machine did not take
}

// Start listens at an address and joins the others. The configuration's name, peers and figures are the caller's; the
// life of the view (Start, Boot, Seed) comes from the machine. changed is called after the view has changed, and may be nil.
func Start(m machine.Machine, listen string, cfg gossip.Config, changed func()) (*Transport, error) {
	cfg.Start, cfg.Boot, cfg.Seed = uint64(max(1, m.Wall()/1000)), uint32(m.Entropy()), m.Entropy()
	f, err := gossip.New(cfg)
	if err != nil {
		return nil, err
	}
	l := &Transport{m: m, logger: structuredlog.New(m), fleet: f, changed: changed}
	if l.conn, err = m.ListenPacket(listen, l.got); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	m.At(m.Now(), l.tick)
	return l, nil
}

func (l *Transport) got(from string, b []byte) {
	if !l.closed {
		l.tell(&gossip.DatagramReceived{From: from, Data: b})
	}
}

func (l *Transport) tick() {
	if !l.closed {
		l.tell(&gossip.Tick{})
	}
}

func (l *Transport) tell(ev gossip.Event) {
	changed := false
	for _, a := range l.fleet.Handle(l.m.Now(), ev) {
		switch a := a.(type) {
		case gossip.Send:
			if l.conn.Send(a.To, a.Data) != nil {
				l.refused++ // as good as lost on the way
			}
		case gossip.Wake:
			if l.timer != nil {
				l.timer.Stop()
			}
			l.timer = l.m.At(a.At, l.tick)
		case gossip.Changed:
			changed = true
		case gossip.Log:
			l.logger.LogAttrs(context.Background(), a.Level, a.Message, a.Attrs...)
		}
	}
	if changed && l.changed != nil {
		l.changed()
	}
}

// UpdateInfo changes what this router says of itself.
func (l *Transport) UpdateInfo(info gossip.Info) { l.tell(&gossip.UpdateInfo{Info: info}) }

// Peers takes over changed addresses.
func (l *Transport) Peers(addrs []string) { l.tell(&gossip.Peers{Peers: addrs}) }

// Leave says that this router drains.
func (l *Transport) Leave() { l.tell(&gossip.Leave{}) }

// Close says that this router ends, and gives all back.
func (l *Transport) Close() {
	if l.closed {
		return
	}
	l.tell(&gossip.Leave{Gone: true})
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
	l.conn.Close()
}

// View is the view. It is there to be read.
func (l *Transport) View() *gossip.View { return l.fleet }

// Addr is where the view listens.
func (l *Transport) Addr() string { return l.conn.Addr() }
