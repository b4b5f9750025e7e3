package mtadmin

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtoperator"
)

// bundle serves the bundle in force. It reads the store, since an operator must
// not base the next version on the possibly outdated view of a daemon.
func (s *Server) bundle(c echo.Context, _ *mtoperator.Operator) error {
	lifecycle, _, err := s.config.Rollout.Lifecycle(c.Request().Context(), businessOf(c))
	if err != nil {
		return err
	}
	if lifecycle.InForce == nil {
		return &MissingError{What: "a bundle of " + string(lifecycle.Business)}
	}
	return s.writeBundle(c, http.StatusOK, describe(lifecycle.InForce, true))
}

// writeBundle responds with a bundle, with its version as the ETag.
func (s *Server) writeBundle(c echo.Context, status int, d BundleDocument) error {
	tag := etag(d.Version)
	c.Response().Header().Set("ETag", tag)
	if c.Request().Method == http.MethodGet && c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSON(status, d)
}

func etag(v mtid.Version) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10)) }

func (s *Server) drafts(c echo.Context, _ *mtoperator.Operator) error {
	lifecycle, tag, err := s.config.Rollout.Lifecycle(c.Request().Context(), businessOf(c))
	if err != nil {
		return err
	}
	var drafts []BundleDocument
	for _, draft := range lifecycle.Drafts {
		if draft.Version == lifecycle.Version()+1 {
			drafts = append(drafts, s.describeDraft(lifecycle, draft, false))
		}
	}
	slices.SortFunc(drafts, func(a, b BundleDocument) int { return cmp.Compare(a.Digest, b.Digest) })
	page, err := paginate(c, drafts, func(d BundleDocument) string { return d.Digest })
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", etag(tag))
	return c.JSON(http.StatusOK, page)
}

// describeDraft describes an open proposal, with valid signatures only.
func (s *Server) describeDraft(lifecycle *mtbundle.Lifecycle, draft *mtbundle.Stored, text bool) BundleDocument {
	d := describe(draft, text)
	signed, needed, err := lifecycle.ValidSigners(draft)
	if err != nil {
		return d
	}
	d.Signed = append([]string{}, signed...)
	d.Needed = needed
	return d
}

func (s *Server) draft(c echo.Context, _ *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	lifecycle, _, err := s.config.Rollout.Lifecycle(c.Request().Context(), businessOf(c))
	if err != nil {
		return err
	}
	for _, draft := range lifecycle.Drafts {
		if draft.Version == version && draft.Digest().String() == c.Param("digest") {
			return s.writeBundle(c, http.StatusOK, s.describeDraft(lifecycle, draft, true))
		}
	}
	return &mtbundle.DraftNotFoundError{Business: lifecycle.Business, Version: version, Digest: c.Param("digest")}
}

func (s *Server) propose(c echo.Context, o *mtoperator.Operator) error {
	text, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return err
	}
	stored, err := s.config.Rollout.Propose(c.Request().Context(), s.config.Now(), businessOf(c), o.Name, text)
	if err != nil {
		return err
	}
	c.Response().Header().Set(echo.HeaderLocation,
		fmt.Sprintf("/v1/businesses/%s/drafts/%d/%s", stored.Business, stored.Version, stored.Digest()))
	return s.writeBundle(c, http.StatusCreated, describe(stored, false))
}

func (s *Server) sign(c echo.Context, _ *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	var document SignatureDocument
	if err := c.Bind(&document); err != nil {
		return &ParameterError{Field: "body", Accept: "JSON with signer and value"}
	}
	sig := mtbundle.Signature{Signer: document.Signer, Value: document.Value}
	stored, err := s.config.Rollout.Sign(c.Request().Context(), businessOf(c), version, c.Param("digest"), sig)
	if err != nil {
		return err
	}
	return s.writeBundle(c, http.StatusOK, describe(stored, false))
}

// accept puts a proposal in force. If-Match is the ETag of the version in force
// when the client prepared the request. Unless that is the version before the
// proposal's, the request is refused before the store is read. It is not compared
// with the current version in force, so a repeated request can succeed.
func (s *Server) accept(c echo.Context, o *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	match := c.Request().Header.Get("If-Match")
	if match != "" && match != etag(version-1) {
		return problem(http.StatusPreconditionFailed, ReasonPrecondition, "If-Match does not fit the proposal",
			fmt.Sprintf("version %d follows %s, not %s", version, etag(version-1), match))
	}
	stored, err := s.config.Rollout.Accept(c.Request().Context(), s.config.Now(), businessOf(c), version, c.Param("digest"), o.Name)
	if err != nil {
		return err
	}
	return s.writeBundle(c, http.StatusOK, describe(stored, false))
}

// maxHistory limits a page of the history, since each item costs a read of the
// store.
const maxHistory = 20

func (s *Server) history(c echo.Context, _ *mtoperator.Operator) error {
	limit, err := limitOf(c, maxHistory)
	if err != nil {
		return err
	}
	before, err := parseNumber("after", c.QueryParam("after"), 0)
	if err != nil {
		return err
	}
	stored, next, err := s.config.Rollout.History(c.Request().Context(), businessOf(c), mtid.Version(before), limit)
	if err != nil {
		return err
	}
	page := Page[BundleDocument]{Items: []BundleDocument{}}
	for _, b := range stored {
		page.Items = append(page.Items, describe(b, false))
	}
	if next > 0 {
		page.Next = strconv.FormatUint(uint64(next), 10)
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Server) version(c echo.Context, _ *mtoperator.Operator) error {
	version, err := versionOf(c)
	if err != nil {
		return err
	}
	stored, err := s.config.Rollout.Version(c.Request().Context(), businessOf(c), version)
	if err != nil {
		return err
	}
	return s.writeBundle(c, http.StatusOK, describe(stored, true))
}

func versionOf(c echo.Context) (mtid.Version, error) {
	n, err := parseNumber("version", c.Param("version"), 1)
	return mtid.Version(n), err
}

// parseNumber parses an integer of at least minimum. An empty value means minimum.
func parseNumber(field, value string, minimum uint64) (uint64, error) {
	if value == "" {
		return minimum, nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil || n < minimum {
		return 0, &ParameterError{Field: field, Value: value, Accept: fmt.Sprintf("a whole number from %d", minimum)}
	}
	return n, nil
}

// Limits on the items of a page.
const (
	defaultLimit = 50
	maxLimit     = 500
)

// limitOf returns the maximum number of items of the requested page: the parameter
// "limit", or a default.
func limitOf(c echo.Context, maximum int) (int, error) {
	text := c.QueryParam("limit")
	if text == "" {
		return min(defaultLimit, maximum), nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maximum {
		return 0, &ParameterError{Field: "limit", Value: text, Accept: fmt.Sprintf("a whole number from 1 to %d", maximum)}
	}
	return n, nil
}

// paginate returns the requested page of items, which must be sorted by cursor.
// The page starts after the cursor in the parameter "after".
func paginate[T any](c echo.Context, items []T, cursor func(T) string) (Page[T], error) {
	return paginateUpTo(c, items, cursor, maxLimit)
}

func paginateUpTo[T any](c echo.Context, items []T, cursor func(T) string, maximum int) (Page[T], error) {
	limit, err := limitOf(c, maximum)
	if err != nil {
		return Page[T]{}, err
	}
	after := c.QueryParam("after")
	start := 0
	if after != "" {
		for start < len(items) && strings.Compare(cursor(items[start]), after) <= 0 {
			start++
		}
	}
	page := Page[T]{Items: append([]T{}, items[start:min(start+limit, len(items))]...)}
	if start+limit < len(items) {
		page.Next = cursor(page.Items[limit-1])
	}
	return page, nil
}
