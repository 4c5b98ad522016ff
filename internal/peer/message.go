// Package peer is the request-response protocol between daemons: one request and one
// response per QUIC stream, both in CBOR, over mutual TLS. The response to a proxied request is a
// sequence of frames.
package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"bulrushpond.example/bulrushpond/internal/core/board"
	"bulrushpond.example/bulrushpond/internal/core/fleet"
	"bulrushpond.example/bulrushpond/internal/drive"
	"bulrushpond.example/bulrushpond/internal/mirror"
	"bulrushpond.example/bulrushpond/internal/rings"
	"bulrushpond.example/bulrushpond/pkg/model"
	"bulrushpond.example/bulrushpond/pkg/setts"
	"bulrushpond.example/bulrushpond/pkg/verdt"
)

// Request is a request to another daemon; exactly one field is set.
type Request struct {
	Gossip *fleet.Gossip      `cbor:"1,keyasint,omitempty"`
	Call   *drive.CallRequest `cbor:"2,keyasint,omitempty"`
	// Settings requests the settings changes after a revision.
	Settings *SettingsRequest `cbor:"3,keyasint,omitempty"`
	// Burn requests the service-level counters.
	Burn *BurnRequest `cbor:"4,keyasint,omitempty"`
	// Mirror requests changes from the daemon's copy of the key-value service.
	Mirror *MirrorRequest `cbor:"5,keyasint,omitempty"`
	// Hub is for the hub: the daemon that reads the key-value service on behalf of
	// the others.
	Hub *HubRequest `cbor:"6,keyasint,omitempty"`
	// Proxy is a caller's request whose servers the sender does not reach. The response is a sequence of
	// drive.ProxyFrame instead of an Answer.
	Proxy *drive.ProxyRequest `cbor:"7,keyasint,omitempty"`
}

// HubRequest requests the changes in the key-value service and the in-flight load of
// the other daemons from the hub.
type HubRequest struct {
	From model.DaemonID `cbor:"1,keyasint"`
	// Status is the requesting daemon's own state.
	Status board.DaemonStatus `cbor:"2,keyasint"`
	// After is the revision up to which the requesting daemon has all changes.
	After uint64 `cbor:"3,keyasint"`
	// Era is the era of After; nil from daemons of earlier versions, which know none.
	Era *uint64 `cbor:"4,keyasint,omitempty"`
}

// HubAnswer is the hub's response to a HubRequest.
type HubAnswer struct {
	Delta mirror.Delta `cbor:"1,keyasint"`
	// Age is the time since the hub last received a response from the key-value service.
	Age time.Duration `cbor:"2,keyasint"`
	// Others is the in-flight load of the other daemons and the servers that they
	// suspect.
	Others board.View `cbor:"3,keyasint"`
	// Daemons is the number of daemons that poll the hub, including the hub itself.
	Daemons int `cbor:"4,keyasint"`
	// Peers are the addresses of a few of them, for use while the hub is unreachable.
	Peers []string `cbor:"5,keyasint,omitempty"`
	// Proxies are the addresses of daemons that serve the services which the requesting daemon does not reach.
	Proxies []string `cbor:"6,keyasint,omitempty"`
}

// MirrorRequest requests the changes in the key-value service after a revision.
type MirrorRequest struct {
	After uint64 `cbor:"1,keyasint"`
	// Era is the era of After; nil from daemons of earlier versions, which know none.
	Era *uint64 `cbor:"2,keyasint,omitempty"`
}

// SettingsRequest requests the settings changes after a revision.
type SettingsRequest struct {
	After model.Revision `cbor:"1,keyasint"`
}

// BurnRequest requests the service-level counters.
type BurnRequest struct{}

// Answer is the response to a Request.
type Answer struct {
	Gossip   *fleet.Gossip       `cbor:"1,keyasint,omitempty"`
	Stored   *rings.StoredAnswer `cbor:"2,keyasint,omitempty"`
	Failure  *verdt.Error        `cbor:"3,keyasint,omitempty"`
	Settings *SettingsAnswer     `cbor:"4,keyasint,omitempty"`
	Burn     []byte              `cbor:"5,keyasint,omitempty"`
	// Revision is the settings revision in force; set with Settings.
	Revision model.Revision `cbor:"6,keyasint,omitempty"`
	Mirror   *mirror.Delta  `cbor:"7,keyasint,omitempty"`
	Hub      *HubAnswer     `cbor:"8,keyasint,omitempty"`
}

// SettingsAnswer holds the changes after a revision, or the whole tree if some of the
// changes are no longer available.
type SettingsAnswer struct {
	Changes []setts.Change `cbor:"1,keyasint,omitempty"`
	Tree    *setts.Tree    `cbor:"2,keyasint,omitempty"`
	// Members is the platform's membership list as last read by the responding daemon,
	// for a daemon that starts while the platform is down.
	Members []model.Member `cbor:"3,keyasint,omitempty"`
}

// Handler handles requests of other daemons.
type Handler interface {
	Answer(ctx context.Context, q Request) Answer
}

// ProxyHandler is a Handler that serves requests whose servers the sender does not reach.
type ProxyHandler interface {
	// ServeProxied serves a request and passes the frames of its answer to write, one at a time.
	ServeProxied(ctx context.Context, q *drive.ProxyRequest, write func(drive.ProxyFrame) error)
}

// maxMessageBytes bounds one message: the largest settings tree or call body, plus
// the other fields.
const maxMessageBytes = 16 << 20

// cborCodec holds the CBOR modes for encoding and decoding messages.
type cborCodec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

// sharedCodec returns the codec, built once: building it costs more than encoding a small
// message.
var sharedCodec = sync.OnceValues(func() (cborCodec, error) {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339Nano
	enc, err := opts.EncMode()
	if err != nil {
		return cborCodec{}, trace.Wrap(err)
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 17, MaxNestedLevels: 16,
		// Request targets, headers and events are passed on byte for byte.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	return cborCodec{enc: enc, dec: dec}, trace.Wrap(err)
})

// DecodeRequest decodes a request of another daemon.
func DecodeRequest(raw []byte) (Request, error) {
	var q Request
	codec, err := sharedCodec()
	if err != nil {
		return q, err
	}
	return q, trace.Wrap(codec.dec.Unmarshal(raw, &q))
}

// countItems returns the number of data items of a CBOR message, or of its beginning if it is malformed.
func countItems(raw []byte) int {
	const (
		majorShift, infoMask    = 5, 0x1f
		byteString, textString  = 2, 3
		firstLength, lastLength = 24, 27
	)
	items := 0
	for i := 0; i < len(raw); items++ {
		major, info := raw[i]>>majorShift, raw[i]&infoMask
		i++
		argument := uint64(info)
		switch {
		case info > lastLength:
			argument = 0
		case info >= firstLength:
			argument = 0
			for range 1 << (info - firstLength) {
				if i < len(raw) {
					argument = argument<<8 | uint64(raw[i])
				}
				i++
			}
		}
		if major == byteString || major == textString {
			if argument > uint64(len(raw)) {
				return items + 1
			}
			i += int(argument)
		}
	}
	return items
}

// writeMessage encodes a message and writes it.
func writeMessage(w io.Writer, v any) error {
	codec, err := sharedCodec()
	if err != nil {
		return err
	}
	raw, err := codec.enc.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = w.Write(raw)
	return trace.Wrap(err)
}

// readMessage reads until EOF, up to maxMessageBytes.
func readMessage(r io.Reader) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(raw) > maxMessageBytes {
		return nil, trace.LimitExceeded("a peer's message is too large")
	}
	return raw, nil
}
