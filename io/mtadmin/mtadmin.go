// Package mtadmin is the administration API of a daemon: bundles, roster,
// assignment, owner of a key, quarantine and drain, in JSON over HTTP, with a
// read-only status page for people. Any daemon answers for the whole system.
//
// # Usage
//
//	server := mtadmin.New(mtadmin.Config{View: view, Self: self, Rollout: rollout, ...})
//	listener, cleanUp, err := mtlisten.Serve(settings.Admin, server.Handler(), mtadmin.Options(held.Admin()))
//	mtwire.RegisterInformServer(grpcServer, server.Informer())
//
// An operator's program uses Client. Every refusal is a Problem after RFC 9457.
// Lists come in pages: "limit" and "after" go in, "next" comes out. What can
// change carries an ETag, and If-Match on acceptance refuses one that was
// prepared against another version.
//
// # Who may ask
//
// A request carries a token ("Authorization: Bearer ..."); browsers may give it
// as the password of HTTP basic authentication, for reading only, since a
// browser would send it along with a request that another site made up. Each
// route demands one role for the business that it is about. All methods of
// Server are safe for concurrent use.
package mtadmin

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtini"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/io/mtlisten"
	"magnoliaturn/io/mtmetric"
	"magnoliaturn/io/mtoperator"
	"magnoliaturn/io/mtrollout"
)

// Limits of the listener for operators.
const (
	MaxBody        = mtini.MaxText + 4<<10
	connections    = 128
	DefaultRate    = 50 // requests a second of one client address
	DefaultBurst   = 100
	readTimeout    = 5 * time.Second
	handlerTimeout = 10 * time.Second
)

// View is the live state as the daemon knows it. What it returns is not
// changed.
type View interface {
	Roster() []*mtroster.Record
	Bundles() []*mtbundle.Bundle
	Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool)
	Frontier() mtid.Revision
}

// Suspect is a request that a daemon keeps from running.
type Suspect struct {
	Service     mtid.Ref
	Fingerprint uint64
	Refused     int // times, by this daemon
	Until       time.Time
}

// Load is the work of the backend server beside a daemon.
type Load struct {
	Service mtid.Ref
	Slots   int
	Running int
	Queued  int
	Rate    float64 // requests a second
}

// Self is what the daemon knows about itself alone.
type Self interface {
	Holder() mtid.Holder
	Suspects() []Suspect
	Loads() []Load
	// Drain makes the daemon leave: it returns once that has begun. Asking
	// again changes nothing.
	Drain(ctx context.Context) error
}

// Dialer returns connections to other daemons. Callers don't close them.
type Dialer interface {
	Dial(record *mtroster.Record) (grpc.ClientConnInterface, error)
}

// Config is what a Server works with. All but Peers, Figures and Metrics is
// required.
type Config struct {
	View      View
	Self      Self
	Rollout   *mtrollout.Rollout
	Operators *mtoperator.Directory
	Peers     Dialer                                    // nil: only this daemon is asked
	Figures   func() map[mtid.Ref]mtmetric.ServiceStats // nil: none are shown
	Metrics   http.Handler                              // nil: none are shown
	Now       func() time.Time
	Logger    *slog.Logger
	Rate      float64 // requests a second of one client address; 0: DefaultRate
	Burst     int     // 0: DefaultBurst
}

// Server is the administration API.
type Server struct {
	config Config
	echo   *echo.Echo
}

// New returns the API. It starts no goroutine.
func New(config Config) *Server {
	s := &Server{config: config, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = refuse
	s.echo.IPExtractor = echo.ExtractIPDirect()
	s.echo.Use(middleware.Recover())
	s.echo.Use(middleware.RateLimiterWithConfig(limits(config)))
	s.echo.Use(middleware.BodyLimit(strconv.Itoa(MaxBody) + "B"))
	s.echo.Use(middleware.Secure())
	s.routes()
	return s
}

// Handler returns the API as a handler.
func (s *Server) Handler() http.Handler { return s.echo }

// Options returns the limits of the listener for operators; config is nil for
// plain HTTP.
func Options(config *tls.Config) mtlisten.Options {
	return mtlisten.Options{
		MaxConnections: connections,
		ReadTimeout:    readTimeout,
		WriteTimeout:   handlerTimeout + readTimeout,
		TLS:            config,
	}
}

func limits(config Config) middleware.RateLimiterConfig {
	return middleware.RateLimiterConfig{
		Store: middleware.NewRateLimiterMemoryStoreWithConfig(middleware.RateLimiterMemoryStoreConfig{
			Rate:      rate.Limit(cmp.Or(config.Rate, DefaultRate)),
			Burst:     cmp.Or(config.Burst, DefaultBurst),
			ExpiresIn: time.Minute,
		}),
		IdentifierExtractor: func(c echo.Context) (string, error) {
			host, _, err := net.SplitHostPort(c.Request().RemoteAddr)
			return host, err
		},
		ErrorHandler: func(echo.Context, error) error {
			return problem(http.StatusForbidden, ReasonIdentity, "No client address", "")
		},
		DenyHandler: func(echo.Context, string, error) error {
			return problem(http.StatusTooManyRequests, ReasonLimited, "Too many requests", "")
		},
	}
}

// routes lists every request, each with the role that it takes.
func (s *Server) routes() {
	read, act := s.guard(true), s.guard(false)
	s.echo.GET("/", read(s.page, anyBusiness(mtoperator.View)))
	s.echo.GET("/metrics", read(s.metrics, anyBusiness(mtoperator.View)))
	s.echo.GET("/v1/status", read(s.status, anyBusiness(mtoperator.View)))
	s.echo.GET("/v1/roster", read(s.roster, anyBusiness(mtoperator.View)))
	s.echo.POST("/v1/daemons/:daemon/drain", act(s.drain, anyBusiness(mtoperator.Drain)))

	const business = "/v1/businesses/:business"
	view := ofBusiness(mtoperator.View)
	s.echo.GET(business+"/bundle", read(s.bundle, view))
	s.echo.GET(business+"/force", read(s.force, view))
	s.echo.GET(business+"/history", read(s.history, view))
	s.echo.GET(business+"/history/:version", read(s.version, view))
	s.echo.GET(business+"/drafts", read(s.drafts, view))
	s.echo.GET(business+"/drafts/:version/:digest", read(s.draft, view))
	s.echo.POST(business+"/drafts", act(s.propose, ofBusiness(mtoperator.Propose)))
	s.echo.POST(business+"/drafts/:version/:digest/signatures", act(s.sign, ofBusiness(mtoperator.Sign)))
	s.echo.POST(business+"/drafts/:version/:digest/accept", act(s.accept, ofBusiness(mtoperator.Accept)))
	s.echo.GET(business+"/quarantine", read(s.quarantine, view))
	s.echo.GET(business+"/services/:service/assignment", read(s.assignment, view))
	s.echo.GET(business+"/services/:service/owner", read(s.owner, view))
}

// demand says whether an operator may make a request.
type demand func(*mtoperator.Operator, echo.Context) (role mtoperator.Role, ok bool)

func anyBusiness(role mtoperator.Role) demand {
	return func(o *mtoperator.Operator, _ echo.Context) (mtoperator.Role, bool) { return role, o.MayAny(role) }
}

func ofBusiness(role mtoperator.Role) demand {
	return func(o *mtoperator.Operator, c echo.Context) (mtoperator.Role, bool) {
		return role, o.May(role, businessOf(c))
	}
}

// handler is a request's handler with its operator.
type handler func(echo.Context, *mtoperator.Operator) error

// guard returns what puts a demand before a handler. basic allows HTTP basic
// authentication as well.
func (s *Server) guard(basic bool) func(handler, demand) echo.HandlerFunc {
	return func(handle handler, demanded demand) echo.HandlerFunc {
		return func(c echo.Context) error {
			operator, ok := s.config.Operators.Find(token(c.Request(), basic))
			if !ok {
				return problem(http.StatusUnauthorized, ReasonIdentity, "A valid token is needed", "")
			}
			role, ok := demanded(operator, c)
			if !ok {
				return problem(http.StatusForbidden, ReasonRole, "The operator may not do that",
					operator.Name+" lacks the role "+string(role))
			}
			ctx, cancel := context.WithTimeout(c.Request().Context(), handlerTimeout)
			defer cancel()
			c.SetRequest(c.Request().WithContext(ctx))
			if !basic {
				s.config.Logger.Log(ctx, mtmetric.LevelAudit, "operator acts", "operator", operator.Name, "role", role, "path", c.Request().URL.Path)
			}
			return handle(c, operator)
		}
	}
}

const bearer = "Bearer "

// token returns the token of a request, or "".
func token(r *http.Request, basic bool) string {
	header := r.Header.Get(echo.HeaderAuthorization)
	if strings.HasPrefix(header, bearer) {
		return strings.TrimPrefix(header, bearer)
	}
	if _, password, ok := r.BasicAuth(); ok && basic {
		return password
	}
	return ""
}

func businessOf(c echo.Context) mtid.Business { return mtid.Business(c.Param("business")) }
