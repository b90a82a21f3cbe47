package gateway

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"briarcroft/internal/placement"
	"briarcroft/internal/roster"

	"golang.org/x/time/rate"
)

// errPanic reports that a panic has left the host in a state in which it must not go on.
var errPanic = namespace.NewType("panic")

// panicInterval and panicBurst limit the panics that are logged, as a stack has some kilobytes.
const (
	panicInterval = time.Second
	panicBurst    = 10
)

// panics handles panics. One on the goroutine of a request or of a call of a peer ends only that request or call: its locks
// are released by deferred calls, and what it holds besides is its own. One in a background task or while the placement of a
// service changes leaves behind what all later requests depend on. The host then stops gracefully, which answers the
// requests in progress, instead of going on with limits that may not hold any more.
type panics struct {
	logged *rate.Limiter
	// stop gets an item when the host must stop.
	stop chan error
}

func newPanics() panics {
	return panics{logged: rate.NewLimiter(rate.Every(panicInterval), panicBurst), stop: make(chan error, 1)}
}

// guard, when it is deferred, keeps a panic of the goroutine from ending the process.
func (g *Gateway) guard(place string) { g.recovered(place, recover()) }

// recovered counts and logs a panic with its stack, and reports whether there was one. It takes the result of recover.
func (g *Gateway) recovered(place string, value any) bool {
	if value == nil {
		return false
	}
	g.stats.panics.Add(1)
	if g.panics.logged.Allow() {
		g.logger.Error().Str("Place", place).Str("Panic", fmt.Sprint(value)).Str("Stack", string(debug.Stack())).Msg("panic")
	}
	return true
}

// stopAfterPanic, when it is deferred, stops the host gracefully after a panic and passes that on.
func (g *Gateway) stopAfterPanic(place string) {
	if value := recover(); value != nil {
		g.beginPanicStop(place, value)
		panic(value)
	}
}

// guardTask, when it is deferred, handles a panic of a goroutine of a background task.
func (g *Gateway) guardTask() {
	if value := recover(); value != nil {
		g.taskPanicked(value)
	}
}

// taskPanicked handles a panic of a background task.
func (g *Gateway) taskPanicked(value any) {
	g.recovered("BackgroundTask", value)
	g.beginPanicStop("BackgroundTask", value)
}

// beginPanicStop makes Serve stop the host gracefully.
func (g *Gateway) beginPanicStop(place string, value any) {
	select {
	case g.panics.stop <- errPanic.New("panic in %s: %v", place, value):
	default:
	}
}

// respond handles a request and returns the response for the caller. After a panic that response promises nothing, because a target
// may have run the request, and the exchange may be nil.
func (c *callerConn) respond(q *request) (x *exchange, response *callerResponse) {
	defer func() {
		if c.gateway.recovered("Request", recover()) {
			response = localResponse(http.StatusInternalServerError, "InternalError", 0)
		}
	}()
	x = newExchange(c, q)
	return x, x.run()
}

// closeAfterPanic, when it is deferred, closes the connection after a panic of the goroutine of a request, whose response may not have
// been sent completely. The earlier requests of the connection are answered first.
func (c *callerConn) closeAfterPanic(q *request, previous <-chan struct{}) {
	if c.gateway.recovered("HandleRequest", recover()) {
		<-previous
		c.truncate(q.oldVersion)
		c.responseWritten(true)
	}
}

// serveGuarded serves the connection in one of the two ways. A panic closes it.
func (c *callerConn) serveGuarded(serve func(*callerConn)) {
	defer func() {
		if c.gateway.recovered("CallerConnection", recover()) {
			c.cancel()
			c.update(func(p *connProgress) { p.closed = true })
			_ = c.conn.Conn.Close()
		}
	}()
	serve(c)
}

// runRecovered does the same as runOn. After a panic the run counts as one whose connection broke, because the target may have
// run the request.
func (x *exchange) runRecovered(ctx context.Context, from placer, p placement.Placed) (r *runResult) {
	defer func() {
		if x.gateway.recovered("Run", recover()) {
			r = &runResult{outcome: placement.OutcomeConnectionBroke}
			defer x.gateway.guard("Run")
			// This host, not the target, is at fault.
			from.endRun(x.pending, placement.RunEnd{Target: p.Target, Outcome: placement.OutcomeCanceled})
		}
	}()
	return x.runOn(ctx, from, p)
}

// nextRequest does the same as readRequest. A request whose reading panics is answered, and its connection closed.
func (c *callerConn) nextRequest() (q *request, rejected *rejection) {
	defer func() {
		if c.gateway.recovered("ReadRequest", recover()) {
			q, rejected = nil, &rejection{status: http.StatusInternalServerError, reason: "InternalError"}
		}
	}()
	return c.readRequest()
}

// writeGuarded does the same as writeResponse. A response whose writing panics counts as incomplete.
func (c *callerConn) writeGuarded(q *request, r *callerResponse, closing bool) (sent bool) {
	defer func() {
		if c.gateway.recovered("WriteResponse", recover()) {
			c.truncate(endsWithConnection(q, r))
			sent = false
		}
	}()
	return c.writeResponse(q, r, closing)
}

// decode decodes an entry of the store, which may hold any bytes. One that makes the decoder panic counts as unreadable.
func (g *Gateway) decode(key string, value []byte) (entry roster.DecodedEntry, err error) {
	defer func() {
		if g.recovered("Decode", recover()) {
			err = errPanic.New("internal error")
		}
	}()
	return g.dialect.Decode(key, value)
}
