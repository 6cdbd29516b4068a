package machinetest

import "starlingwinch/internal/machine"

// send sends a datagram, and retries while the machine accepts none.
func send(p machine.PacketConn, to, text string) error {
	for {
		if err := p.Send(to, []byte(text)); err != machine.ErrWait {
			return err
		}
	}
}

func datagrams(b *bench) {
	var near, far machine.PacketConn
	var got string
	b.call(func() {
		var err error
		far, err = b.B.ListenPacket(b.IPB+":0", func(from string, data []byte) {
			defer b.enterCallback()()
			if err := send(far, from, "re: "+string(data)); err != nil {
				b.Errorf("Send: %v", err)
			}
		})
		if err != nil {
			b.Fatalf("ListenPacket: %v", err)
		}
		near, err = b.A.ListenPacket(b.IPA+":0", func(from string, data []byte) {
			defer b.enterCallback()()
			got = string(data)
			if from != far.Addr() {
				b.Errorf("answer from %s, want from %s", from, far.Addr())
			}
		})
		if err != nil {
			b.Fatalf("ListenPacket: %v", err)
		}
		if err := send(near, far.Addr(), "hello"); err != nil {
			b.Errorf("Send: %v", err)
		}
	})
	b.wait("the answer", func() bool { return got != "" })
	if got != "re: hello" {
		b.Errorf("received %q, want %q", got, "re: hello")
	}
	b.call(func() {
		near.Close()
		near.Close()
		if err := near.Send(far.Addr(), nil); err == nil {
			b.Error("Send after Close succeeded, want an error")
		}
	})
}
