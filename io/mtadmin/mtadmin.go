// Package mtadmin implements the administration API of a daemon: bundles, roster,
// assignment, owner of a key, quarantine and drain, in JSON over HTTP, and a
// read-only status page in HTML. Every daemon serves requests about the whole
// system.
//
// # Usage
//
//	server := mtadmin.New(mtadmin.Config{View: view, Self: self, Rollout: rollout, ...})
//	listener, cleanUp, err := mtlisten.Serve(settings.Admin, server.Handler(), mtadmin.Options(creds.Admin()))
//	mtwire.RegisterInformServer(grpcServer, server.Informer())
//
// Programs use Client. Every error response is a Problem as in RFC 9457. Lists are
// paginated: requests have the parameters "limit" and "after", responses have the
// cursor "next". Bundles have an ETag, and If-Match on acceptance refuses a
// proposal that was prepared for another version.
//
// # Authorization
//
// Requests are authenticated by a bearer token ("Authorization: Bearer ...").
// Browsers may send it as the password of HTTP basic authentication, but only for
// reading: a browser also adds that password to requests forged by other sites.
// Each route requires a role for the business in its path, or for any business.
// All methods of Server are safe for concurrent use.
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

// Limits of the listener for operators and of its requests.
const (
	MaxBody        = mtini.MaxText + 4<<10
	maxConnections = 128
	DefaultRate    = 50 // requests per second of a client address
	DefaultBurst   = 100
	readTimeout    = 5 * time.Second
	handlerTimeout = 10 * time.Second
)

// View provides the live state as the daemon knows it. The returned values must
// not be modified.
type View interface {
	Roster() []*mtroster.Record
	Bundles() []*mtbundle.Bundle
	Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool)
	Frontier() mtid.Revision
}

// Suspect is a request that a daemon has quarantined.
type Suspect struct {
	Service     mtid.Ref
	Fingerprint uint64
	Refused     int // times, by this daemon
	Until       time.Time
}

// Load is the current load of the backend server on a daemon's VM.
type Load struct {
	Service mtid.Ref
	Slots   int
	Running int
	Queued  int
	Rate    float64 // requests per second
}

// Self provides the state that only the daemon itself has.
type Self interface {
	Holder() mtid.Holder
	Suspects() []Suspect
	Loads() []Load
	// Drain makes the daemon hand over its keys and leave. It returns once that
	// has begun. Repeated calls have no effect.
	Drain(ctx context.Context) error
}

// Dialer provides connections to other daemons. The Dialer keeps ownership of
// them: callers must not close them.
type Dialer interface {
	Dial(record *mtroster.Record) (grpc.ClientConnInterface, error)
}

// Config configures a Server. All fields but Peers, ServiceStats, Metrics,
// Rate and Burst are required.
type Config struct {
	View         View
	Self         Self
	Rollout      *mtrollout.Rollout
	Operators    *mtoperator.Directory
	Peers        Dialer                                    // nil: other daemons are not queried
	ServiceStats func() map[mtid.Ref]mtmetric.ServiceStats // nil: no statistics
	Metrics      http.Handler                              // nil: GET /metrics is answered with 404
	Now          func() time.Time
	Logger       *slog.Logger
	Rate         float64 // requests per second of a client address; 0: DefaultRate
	Burst        int     // 0: DefaultBurst
}

// Server serves the administration API.
type Server struct {
	config Config
	echo   *echo.Echo
}

// New returns a Server. It starts no goroutines.
func New(config Config) *Server {
	s := &Server{config: config, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = handleError
	s.echo.IPExtractor = echo.ExtractIPDirect()
	s.echo.Use(middleware.Recover())
	s.echo.Use(middleware.RateLimiterWithConfig(rateLimits(config)))
	s.echo.Use(middleware.BodyLimit(strconv.Itoa(MaxBody) + "B"))
	s.echo.Use(middleware.Secure())
	s.routes()
	return s
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler { return s.echo }

// Options returns the options of the listener for operators. A nil config means
// plain HTTP.
func Options(config *tls.Config) mtlisten.Options {
	return mtlisten.Options{
		MaxConnections: maxConnections,
		ReadTimeout:    readTimeout,
		WriteTimeout:   handlerTimeout + readTimeout,
		TLS:            config,
	}
}

// rateLimits limits the requests of each client address.
func rateLimits(config Config) middleware.RateLimiterConfig {
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

// routes registers all routes, each with the role that it requires.
func (s *Server) routes() {
	read, write := s.guard(true), s.guard(false)
	s.echo.GET("/", read(s.page, inAnyBusiness(mtoperator.View)))
	s.echo.GET("/metrics", read(s.metrics, inAnyBusiness(mtoperator.View)))
	s.echo.GET("/v1/status", read(s.status, inAnyBusiness(mtoperator.View)))
	s.echo.GET("/v1/roster", read(s.roster, inAnyBusiness(mtoperator.View)))
	s.echo.POST("/v1/daemons/:daemon/drain", write(s.drain, inAnyBusiness(mtoperator.Drain)))

	const business = "/v1/businesses/:business"
	view := inBusiness(mtoperator.View)
	s.echo.GET(business+"/bundle", read(s.bundle, view))
	s.echo.GET(business+"/force", read(s.force, view))
	s.echo.GET(business+"/history", read(s.history, view))
	s.echo.GET(business+"/history/:version", read(s.version, view))
	s.echo.GET(business+"/drafts", read(s.drafts, view))
	s.echo.GET(business+"/drafts/:version/:digest", read(s.draft, view))
	s.echo.POST(business+"/drafts", write(s.propose, inBusiness(mtoperator.Propose)))
	s.echo.POST(business+"/drafts/:version/:digest/signatures", write(s.sign, inBusiness(mtoperator.Sign)))
	s.echo.POST(business+"/drafts/:version/:digest/accept", write(s.accept, inBusiness(mtoperator.Accept)))
	s.echo.GET(business+"/quarantine", read(s.quarantine, view))
	s.echo.GET(business+"/services/:service/assignment", read(s.assignment, view))
	s.echo.GET(business+"/services/:service/owner", read(s.owner, view))
}

// authorizer returns the role that a request requires, and whether the operator
// has it.
type authorizer func(*mtoperator.Operator, echo.Context) (role mtoperator.Role, ok bool)

func inAnyBusiness(role mtoperator.Role) authorizer {
	return func(o *mtoperator.Operator, _ echo.Context) (mtoperator.Role, bool) { return role, o.MayAny(role) }
}

func inBusiness(role mtoperator.Role) authorizer {
	return func(o *mtoperator.Operator, c echo.Context) (mtoperator.Role, bool) {
		return role, o.May(role, businessOf(c))
	}
}

// handler serves a request of an authenticated operator.
type handler func(echo.Context, *mtoperator.Operator) error

// guard returns a function that wraps a handler with authentication, authorization
// and a timeout. With readOnly, HTTP basic authentication is accepted as well, and
// requests are not written to the audit log.
func (s *Server) guard(readOnly bool) func(handler, authorizer) echo.HandlerFunc {
	return func(handle handler, authorize authorizer) echo.HandlerFunc {
		return func(c echo.Context) error {
			operator, ok := s.config.Operators.Find(tokenOf(c.Request(), readOnly))
			if !ok {
				return problem(http.StatusUnauthorized, ReasonIdentity, "A valid token is needed", "")
			}
			role, ok := authorize(operator, c)
			if !ok {
				return problem(http.StatusForbidden, ReasonRole, "The operator may not do that",
					operator.Name+" lacks the role "+string(role))
			}
			ctx, cancel := context.WithTimeout(c.Request().Context(), handlerTimeout)
			defer cancel()
			c.SetRequest(c.Request().WithContext(ctx))
			if !readOnly {
				s.config.Logger.Log(ctx, mtmetric.LevelAudit, "operator acts", "operator", operator.Name, "role", role, "path", c.Request().URL.Path)
			}
			return handle(c, operator)
		}
	}
}

const bearer = "Bearer "

// tokenOf returns the token of a request, or "". basic allows HTTP basic
// authentication.
func tokenOf(r *http.Request, basic bool) string {
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
