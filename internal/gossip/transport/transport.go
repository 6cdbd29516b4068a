// Package transport runs a gossip view on a machine: it connects the view to the machine's datagrams, clock and log, and makes no
// decisions of the protocol.
package transport

import (
	"context"
	"fmt"
	"log/slog"

	"starlingwinch/internal/gossip"
	"starlingwinch/internal/machine"
	"starlingwinch/internal/structuredlog"
)

// Transport runs a view on a machine. All of its methods must be called in the machine's event loop.
type Transport struct {
	machine   machine.Machine
	logger    *slog.Logger
	view      *gossip.View
	conn      machine.PacketConn
	timer     machine.Timer // timer of the view's latest Wake; nil before the first Wake
	onChanged func()        // may be nil
	closed    bool
}

// Start listens at an address and joins the other routers. Start sets the fields Start, Boot and Seed of cfg from the machine; the
// caller sets all others. The transport calls onChanged, which may be nil, after the view has changed. An error about the listen
// address wraps the machine's error, which callers can test with errors.Is.
func Start(m machine.Machine, listen string, cfg gossip.Config, onChanged func()) (*Transport, error) {
	cfg.Start, cfg.Boot, cfg.Seed = uint64(max(1, m.Wall()/1000)), uint32(m.Entropy()), m.Entropy()
	view, err := gossip.New(cfg)
	if err != nil {
		return nil, err
	}
	t := &Transport{machine: m, logger: structuredlog.New(m), view: view, onChanged: onChanged}
	if t.conn, err = m.ListenPacket(listen, t.onDatagram); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	m.At(m.Now(), t.onTimer)
	return t, nil
}

func (t *Transport) onDatagram(from string, data []byte) {
	if !t.closed {
		t.handle(&gossip.DatagramReceived{From: from, Data: data})
	}
}

func (t *Transport) onTimer() {
	if !t.closed {
		t.handle(&gossip.Tick{})
	}
}

// handle passes an event to the view and performs the view's actions in order. onChanged is called last, because it may call the
// transport.
func (t *Transport) handle(event gossip.Event) {
	changed := false
	for _, action := range t.view.Handle(t.machine.Now(), event) {
		switch action := action.(type) {
		case gossip.Send:
			t.conn.Send(action.To, action.Data) // a datagram that the machine rejects counts as lost on the network
		case gossip.Wake:
			t.setTimer(action.At)
		case gossip.Changed:
			changed = true
		case gossip.Log:
			t.logger.LogAttrs(context.Background(), action.Level, action.Message, action.Attrs...)
		}
	}
	if changed && t.onChanged != nil {
		t.onChanged()
	}
}

func (t *Transport) setTimer(at gossip.Time) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.timer = t.machine.At(at, t.onTimer)
}

// UpdateInfo replaces the data that this router announces about itself.
func (t *Transport) UpdateInfo(info gossip.Info) { t.handle(&gossip.UpdateInfo{Info: info}) }

// Peers replaces the configured addresses.
func (t *Transport) Peers(addrs []string) { t.handle(&gossip.Peers{Peers: addrs}) }

// Leave announces that this router drains.
func (t *Transport) Leave() { t.handle(&gossip.Leave{}) }

// Close announces that this router ends, and stops listening. Calls after the first do nothing.
func (t *Transport) Close() {
	if t.closed {
		return
	}
	t.handle(&gossip.Leave{Ended: true})
	t.closed = true
	if t.timer != nil {
		t.timer.Stop()
	}
	t.conn.Close()
}

// View returns the view, which the caller must only read.
func (t *Transport) View() *gossip.View { return t.view }

// Addr returns the address at which the transport listens.
func (t *Transport) Addr() string { return t.conn.Addr() }
