package gossip

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"
)

// earlierDatagrams returns the datagrams that release ea855d0 wrote, by name.
func earlierDatagrams(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile("testdata/ea855d0.datagrams")
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, found := strings.Cut(strings.TrimSpace(line), " ")
		if name == "#" || !found {
			continue
		}
		if recorded[name], err = hex.DecodeString(digits); err != nil {
			t.Fatal(name, err)
		}
	}
	return recorded
}

// TestDatagramsOfEarlierRelease checks that each kind of datagram that release ea855d0 wrote decodes to the expected fields and
// encodes to the same bytes.
func TestDatagramsOfEarlierRelease(t *testing.T) {
	digests := []uint32{0, 1<<24 | 1, 2<<24 | 2, 3<<24 | 3, 4<<24 | 4, 5<<24 | 5, 6<<24 | 6, 7<<24 | 7, 8<<24 | 8, 9<<24 | 9,
		10<<24 | 10, 11<<24 | 11, 12<<24 | 12, 13<<24 | 13, 14<<24 | 14, 15<<24 | 15}
	agreed := []byte{1, 0, 255}
	cases := map[string]datagram{
		"ping":              earlierDatagram(1, agreed, nil, Leaving),
		"ping-request":      earlierDatagram(2, nil, nil, Suspect),
		"ack":               earlierDatagram(3, agreed, nil, Faulty),
		"nack":              earlierDatagram(4, nil, nil, Left),
		"digests":           earlierDatagram(5, nil, digests, states),
		"differences":       earlierDatagram(6, nil, nil, Leaving),
		"query":             {header: header{kind: 7}, nonce: 5, first: 3},
		"page":              earlierDatagram(8, nil, nil, Faulty),
		"query-of-observer": {header: header{kind: 7}, nonce: 0xabcdef, first: 7},
		"digests-padded":    earlierDatagram(5, nil, []uint32{0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}, states),
	}
	recorded := earlierDatagrams(t)
	if len(recorded) != len(cases) {
		t.Errorf("got %d recorded datagrams, want %d", len(recorded), len(cases))
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := parse(recorded[name])
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Fatalf("got  %+v, error %v\nwant %+v", got, err, want)
			}
			if encoded := encodeWithUpdates(t, &got, len(recorded[name])); !bytes.Equal(encoded, recorded[name]) {
				t.Errorf("encoded as %x\nwant       %x", encoded, recorded[name])
			}
		})
	}
}

// encodeWithUpdates encodes a datagram with its agreed members and updates, padded if it is shorter than size.
func encodeWithUpdates(t *testing.T, d *datagram, size int) []byte {
	b := d.append(nil)
	if d.agreed != nil {
		b = appendBytes(b, fieldAgreed, d.agreed)
	}
	for i := range d.updates {
		var fits bool
		if b, fits = appendUpdate(b, &d.updates[i], MaxDatagramBytes); !fits {
			t.Fatalf("update %d does not fit into a datagram", i)
		}
	}
	if len(b) < size {
		b = pad(b, MaxDatagramBytes)
	}
	return b
}

// earlierDatagram returns the expected content of a recorded datagram. second is the state of the second update; the value states
// means that the datagram has no updates.
func earlierDatagram(k kind, agreed []byte, digests []uint32, second State) datagram {
	d := datagram{
		header: header{kind: k, name: "n17", boot: 0xfeed, sequence: 9, incarnation: 1_796_000_000_000, runTime: 12, leaving: true, settled: true,
			digest: 1 << 63},
		nonce: 5, target: "n3", addr: "10.0.0.4:7946", first: 3, total: 9, age: 77, agreed: agreed, parts: digests,
	}
	if second < states {
		info := Info{List: 9, Digest: 8, Config: 7, Build: 6}
		d.updates = []update{
			{
				name: "n4", state: Faulty, incarnation: 1_796_000_000_007, boot: 6, revision: 2, info: info, addr: "[2001:db8::1]:80",
				by: "n5", age: 4,
			},
			{name: "n6", state: second, incarnation: 7, boot: 0xffffffff},
		}
	}
	return d
}

// TestPagesOfEarlierRelease checks that DecodePage decodes a page that release ea855d0 wrote.
func TestPagesOfEarlierRelease(t *testing.T) {
	got, err := DecodePage(earlierDatagrams(t)["page"], 5)
	if err != nil {
		t.Fatal(err)
	}
	want := &Page{Router: "n17", Digest: 1 << 63, Settled: true, SettledFor: 77_000, First: 3, Total: 9, Members: []Member{
		{Name: "n4", State: Faulty, Incarnation: 1_796_000_000_007, Since: 4000, Info: Info{List: 9, Digest: 8, Config: 7, Build: 6}},
		{Name: "n6", State: Faulty, Incarnation: 7},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// TestQueryOfEarlierRelease checks that EncodeQuery encodes an observer's query to the bytes that release ea855d0 wrote.
func TestQueryOfEarlierRelease(t *testing.T) {
	if got, want := EncodeQuery(7, 0xabcdef), earlierDatagrams(t)["query-of-observer"]; !bytes.Equal(got, want) {
		t.Errorf("encoded as %x\nwant       %x", got, want)
	}
}
