package httpwire

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

func TestParseRequest(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		err      error
		method   string
		path     string
		query    string
		body     string
		close    bool
		rest     string
	}{
		{name: "get", in: "GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n", method: "GET", path: "/a", query: "b=c"},
		{name: "post", in: "POST /a HTTP/1.1\r\ncontent-LENGTH: 3\r\nConnection: Close\r\n\r\nabcGET", method: "POST", path: "/a", body: "abc", close: true, rest: "GET"},
		{name: "chunked body", in: "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n!", method: "POST", path: "/a", body: "abc", rest: "!"},
		{name: "HTTP/1.0", in: "GET / HTTP/1.0\r\n\r\n", method: "GET", path: "/", close: true},
		{name: "incomplete header", in: "GET / HTTP/1.1\r\nHost", err: ErrIncomplete},
		{name: "incomplete body", in: "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", err: ErrIncomplete},
		{name: "incomplete chunk", in: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", err: ErrIncomplete},
		{name: "no version", in: "GET /\r\n\r\n", err: ErrMalformed},
		{name: "no path", in: "GET x HTTP/1.1\r\n\r\n", err: ErrMalformed},
		{name: "negative length", in: "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", err: ErrMalformed},
		{name: "contradictory lengths", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", err: ErrMalformed},
		{name: "length and chunked body", in: "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", err: ErrMalformed},
		{name: "space before colon", in: "GET / HTTP/1.1\r\nHost : x\r\n\r\n", err: ErrMalformed},
		{name: "large body", in: "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", err: ErrTooLarge},
		{name: "large header", in: "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", MaxHeaderBytes+1), err: ErrTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, n, err := ParseRequest([]byte(tc.in))
			if !errors.Is(err, tc.err) {
				t.Fatalf("got error %v, want %v", err, tc.err)
			}
			if err != nil {
				return
			}
			if r.Method != tc.method || r.Path != tc.path || r.Query != tc.query || string(r.Body) != tc.body || r.Close != tc.close || tc.in[n:] != tc.rest {
				t.Errorf("got request %+v and rest %q, want those of the test case", r, tc.in[n:])
			}
		})
	}
}

func TestResponseRoundTrip(t *testing.T) {
	data := AppendResponse(nil, Reply{Status: 503, Body: []byte(`{"error":"not now"}`), RetryAfter: 2, Close: true})
	response, size, err := ParseResponse(data)
	if err != nil || size != len(data) {
		t.Fatalf("parsed %d of %d bytes: %v", size, len(data), err)
	}
	if response.Status != 503 || string(response.Body) != `{"error":"not now"}` || response.RetryAfter != "2" || !response.Close {
		t.Errorf("parsed response: got %+v, want the Reply that was written", response)
	}
}

// serveOneRequestEach answers one request on each connection, and then closes the connection
// without having sent "Connection: close". It returns when the listener is closed.
func serveOneRequestEach(listener net.Listener) error {
	buf := make([]byte, 4096)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if _, err := conn.Read(buf); err != nil {
			return err
		}
		if _, err := conn.Write(AppendResponse(nil, Reply{Status: 200, Body: []byte("{}")})); err != nil {
			return err
		}
		if err := conn.Close(); err != nil {
			return err
		}
	}
}

// TestClientDropsClosedConnection checks that a call on an idle connection that the server has
// closed fails, and that the client does not use this connection again.
func TestClientDropsClosedConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- serveOneRequestEach(listener) }()
	client := &Client{Addr: listener.Addr().String(), MaxIdle: 1}
	ok := 0
	for range 4 {
		if response, err := client.Do("GET", "/", nil, 5*time.Second); err == nil && response.Status == 200 {
			ok++
		}
	}
	if ok < 2 {
		t.Errorf("successful calls: got %d of 4, want at least 2", ok)
	}
	listener.Close()
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("server ended with error %v, want net.ErrClosed", err)
	}
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, n, err := ParseRequest(in)
		if err != nil {
			return
		}
		if n < 1 || n > len(in) || len(r.Body) > MaxRequestBodyBytes {
			t.Fatalf("request took %d of %d bytes, with a body of %d bytes", n, len(in), len(r.Body))
		}
		// No prefix of a complete request may parse as a shorter request.
		if _, m, err := ParseRequest(in[:n-1]); err == nil {
			t.Fatalf("request of %d bytes: its prefix parses as a request of %d bytes", n, m)
		}
	})
}

func FuzzParseResponse(f *testing.F) {
	f.Add(AppendResponse(nil, Reply{Status: 200, Body: []byte("{}")}))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, n, err := ParseResponse(in)
		if err == nil && (n > len(in) || r.Status < 100 || r.Status > 999 || !bytes.Contains(in, r.Body)) && !bytes.Contains(in, []byte("hunked")) {
			t.Fatalf("response took %d of %d bytes: got %+v", n, len(in), r)
		}
	})
}
