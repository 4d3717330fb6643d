package peer

import (
	"encoding/binary"
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"ravenhitch/internal/peer/peerpb"
)

// helloFrame returns the frame of a hello.
func helloFrame(t testing.TB, hello *peerpb.Hello) []byte {
	t.Helper()
	b, err := encodeFrame(hello, maxHelloFrame)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// FuzzHello asserts for arbitrary bytes that decoding a hello does not panic, that the decoded message is within its
// size limit, and that an accepted hello has a name and a supported version.
func FuzzHello(f *testing.F) {
	f.Add(helloFrame(f, &peerpb.Hello{Cluster: "dala", Name: "n1", Lowest: 1, Highest: 1}))
	f.Add(binary.AppendUvarint(nil, 3<<30))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, used, err := decodeFrame(b, maxHelloFrame)
		if err != nil || used == 0 {
			return
		}
		if used > len(b) || len(m) > maxHelloFrame {
			t.Fatalf("decodeFrame used %d of %d bytes and returned a message of %d bytes, want at most %d",
				used, len(b), len(m), maxHelloFrame)
		}
		hello, version, err := CheckHello("dala", m)
		if err != nil {
			return
		}
		if version < MinVersion || version > MaxVersion || hello.GetName() == "" {
			t.Fatalf("CheckHello returned hello %v and version %d, want a name and a supported version", hello, version)
		}
	})
}

// TestVersionAgreement asserts that CheckHello returns the highest version that both sides support, and an error if
// there is none.
func TestVersionAgreement(t *testing.T) {
	for _, test := range []struct {
		lowest, highest, want uint32
		err                   error
	}{
		{1, 1, 1, nil},
		{1, 9, 1, nil},
		{0, 1, 1, nil},
		{2, 9, 0, ErrNoCommonVersion},
		{0, 0, 0, ErrNoCommonVersion},
	} {
		b, err := proto.Marshal(&peerpb.Hello{
			Cluster:  "dala",
			Name:     "n1",
			Lowest:   test.lowest,
			Highest:  test.highest,
			Features: []string{"unknown"},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, version, err := CheckHello("dala", b); version != test.want || !errors.Is(err, test.err) {
			t.Errorf("versions %d to %d: got version %d, error %v, want %d, %v",
				test.lowest, test.highest, version, err, test.want, test.err)
		}
	}
}
