package ingress

import (
	"errors"
	"io"
	"net/http"
)

// handler wraps the bodies of requests.
type handler struct {
	inner http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil || r.Body == nil || r.Body == http.NoBody {
		h.inner.ServeHTTP(w, r)
		return
	}
	b := &guardedBody{inner: r.Body, conn: c}
	// A copy, since the server looks at the type of the body of its own request.
	request := *r
	request.Body = b
	defer b.Close() // also after a panic of the handler, which ends only its connection
	h.inner.ServeHTTP(w, &request)
	if !b.complete {
		// The server reads on, to use the connection again.
		if !c.enter(body, rest) {
			c.enter(serving, rest)
		}
	}
}

// guardedBody charges a body as it arrives.
type guardedBody struct {
	inner    io.ReadCloser
	conn     *conn
	charged  int64
	complete bool
}

// chargeUnit is the number of bytes by which the charge of a body grows, so that small chunks take the lock rarely.
const chargeUnit = 8 << 10

// Read implements io.Reader. A body that is ended by the guard fails with a *RefusedError.
func (b *guardedBody) Read(p []byte) (int, error) {
	c := b.conn
	c.enter(serving, body)
	n, err := b.inner.Read(p)
	total := c.bodyBytes.Add(int64(n))
	// Twice, since readers grow their buffers by copying.
	for err == nil && 2*(total-freeBytes) > b.charged {
		if chargeErr := c.guard.charge(c, chargeUnit); chargeErr != nil {
			return 0, chargeErr
		}
		b.charged += chargeUnit
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.complete = true
		if !c.enter(body, serving) && c.phase.Load() == ended {
			return 0, &RefusedError{}
		}
	case c.phase.Load() == ended:
		return 0, &RefusedError{}
	}
	return n, err
}

// Close releases the memory of the body. It does not close the body of the server, which does so itself.
func (b *guardedBody) Close() error {
	b.conn.guard.release(b.conn, b.charged)
	b.charged = 0
	return nil
}
